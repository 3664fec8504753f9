import { RETRY_OPTIONS, RetryBudget } from "@medlarledge/routing";
import type { Clock } from "@medlarledge/runtime";
import { NotRunReason, type StatementOrder, type StatementOrderResult } from "@medlarledge/statements";
import type { ElapsedClock } from "./elapsed-clock.js";
import type { GroupEndpoint } from "./group-endpoint.js";
import type { GroupKnowledge } from "./group-knowledge.js";
import { FULL_POOL_MS, type RelayClient } from "./relay-client.js";

/**
 * Reads that may be repeated because their answer is overdue or a failure. Endpoints lose up to a fifth of their answers
 * when they fail in part, and a host with few callers has few attempts in a window.
 */
const READ_REPEATS = { share: 0.2, minRetries: 3 } as const;

const MAX_SEED = 2 ** 31;

const UNREACHABLE: StatementOrderResult = { kind: "notRun", reason: NotRunReason.Unreachable, position: undefined };

export interface GroupOrdersOptions {
    readonly group: string;
    readonly clock: Clock;
    readonly elapsed: ElapsedClock;
    readonly relay: RelayClient;
    readonly random: () => number;
    readonly knowledge: GroupKnowledge;
    readonly endpoint: (id: string) => GroupEndpoint | undefined;
}

/** Runs the orders for one group's endpoints, over connections of this process or of others. */
export class GroupOrders {
    readonly #options: GroupOrdersOptions;
    readonly #repeats: RetryBudget;

    constructor(options: GroupOrdersOptions) {
        this.#options = options;
        const seed = Math.floor(options.random() * MAX_SEED);
        this.#repeats = new RetryBudget({ ...RETRY_OPTIONS, ...READ_REPEATS, seed });
    }

    /** Runs an order and learns from its result. `repeatable` orders are given up when the endpoint falls silent. */
    async run(order: StatementOrder, repeatable: boolean): Promise<StatementOrderResult> {
        const endpoint = this.#options.endpoint(order.endpoint);
        if (endpoint === undefined) {
            return UNREACHABLE;
        }
        if (!repeatable) {
            return endpoint.measure(() => this.#runAnywhere(endpoint, order));
        }
        this.#repeats.attempted(this.#options.clock.now());
        return endpoint.measure(() =>
            endpoint.abandonable(this.#runAnywhere(endpoint, order), {
                mayRepeat: () => this.mayRepeat(order.endpoint),
                ended: () => this.#endAbandoned(order),
            })
        );
    }

    /** Runs an order of another host, over a connection of this one. */
    async runHere(order: StatementOrder): Promise<StatementOrderResult> {
        const endpoint = this.#options.endpoint(order.endpoint);
        if (endpoint === undefined || (order.opening.kind !== "continued" && !endpoint.isDirect)) {
            return UNREACHABLE;
        }
        return endpoint.measure(() => this.#runOn(endpoint, order));
    }

    /** Repeating reads must not multiply the load of endpoints that are slow or fail because they have too much. */
    mayRepeat(endpoint: string): boolean {
        return this.#repeats.retry(endpoint, 1, this.#options.clock.now()) !== undefined;
    }

    endTransaction(endpoint: string, transaction: string): void {
        const { relay, group } = this.#options;
        if (!relay.endTransaction(group, endpoint, transaction)) {
            this.endHere(endpoint, transaction);
        }
    }

    /** Rolls back a transaction that runs over a connection of this host. */
    endHere(endpoint: string, transaction: string): void {
        this.#options.endpoint(endpoint)?.endTransaction(transaction);
    }

    #endAbandoned({ endpoint, transaction }: StatementOrder): void {
        if (transaction !== undefined) {
            this.endTransaction(endpoint, transaction);
        }
    }

    /** Runs an order over an own connection where there is one, and over another host's otherwise. */
    async #runAnywhere(endpoint: GroupEndpoint, order: StatementOrder): Promise<StatementOrderResult> {
        const { clock, relay, group } = this.#options;
        const isContinued = order.opening.kind === "continued";
        const isOwn = isContinued ? endpoint.pool.holds(order.transaction ?? "") : endpoint.isDirect;
        if (!isOwn) {
            return this.#relay(order);
        }
        if (isContinued || !relay.canReach(group, order.endpoint)) {
            return this.#runOn(endpoint, order);
        }
        const startedAt = clock.now();
        const own = await this.#runOn(endpoint, { ...order, patienceMs: Math.min(order.patienceMs, FULL_POOL_MS) });
        const leftMs = order.patienceMs - (clock.now() - startedAt);
        return needsConnection(own) && leftMs > 0 ? this.#relay({ ...order, patienceMs: leftMs }) : own;
    }

    async #runOn(endpoint: GroupEndpoint, order: StatementOrder): Promise<StatementOrderResult> {
        const { elapsed, knowledge } = this.#options;
        const askedAt = elapsed.now();
        const result = await endpoint.run(order);
        knowledge.learn(order.endpoint, result, askedAt);
        return result;
    }

    async #relay(order: StatementOrder): Promise<StatementOrderResult> {
        const { elapsed, relay, knowledge } = this.#options;
        const askedAt = elapsed.now();
        const { result, leader } = await relay.run(order);
        knowledge.learn(order.endpoint, result, askedAt);
        if (leader !== undefined) {
            knowledge.learnOfLeader(leader, askedAt);
        }
        return result;
    }
}

/** The order did not run for want of a connection: another host may have one. */
function needsConnection(result: StatementOrderResult): boolean {
    return result.kind === "notRun"
        && (result.reason === NotRunReason.Unreachable || result.reason === NotRunReason.NoConnection);
}
