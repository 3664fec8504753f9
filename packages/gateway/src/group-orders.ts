import { RETRY_OPTIONS, RetryBudget } from "@medlarledge/routing";
import type { Clock } from "@medlarledge/runtime";
import { NotRunReason, type StatementOrder, type StatementOrderResult, UnknownReason } from "@medlarledge/statements";
import type { ElapsedClock } from "./elapsed-clock.js";
import type { GroupBalance } from "./group-balance.js";
import type { GroupEndpoint } from "./group-endpoint.js";
import type { GroupState } from "./group-state.js";
import { changesData, requiresPrimary } from "./primary-order.js";
import type { PrimaryPermits } from "./primary-permits.js";
import { MAX_FULL_POOL_WAIT_MS, type RelayClient } from "./relay-client.js";

/**
 * Limits for retrying reads whose answer is overdue or a failure. Endpoints that fail partially lose up to a fifth of
 * their answers; the minimum is for hosts with few callers, which have few attempts in a window.
 */
const READ_RETRY_LIMITS = { share: 0.2, minRetries: 3 } as const;

const MAX_SEED = 2 ** 31;

/** Interval of checks whether this process may use a primary again after its lease has ended. */
const PERMIT_CHECK_MS = 20;

const UNREACHABLE: StatementOrderResult = { kind: "notRun", reason: NotRunReason.Unreachable, position: undefined };

export interface GroupOrdersOptions {
    readonly group: string;
    readonly clock: Clock;
    readonly elapsed: ElapsedClock;
    readonly relay: RelayClient;
    readonly permits: PrimaryPermits;
    readonly random: () => number;
    readonly state: GroupState;
    readonly endpoint: (id: string) => GroupEndpoint | undefined;
    readonly balance: GroupBalance;
}

/** Runs statement orders on one group's endpoints, over connections of this process or of others. */
export class GroupOrders {
    readonly #options: GroupOrdersOptions;
    readonly #retryBudget: RetryBudget;
    /** Endpoints at which the orders of this host's callers run or wait, by session. */
    readonly #running = new Map<string, string>();
    /** Sessions with running orders whose callers have left. */
    readonly #cancelled = new Set<string>();

    constructor(options: GroupOrdersOptions) {
        this.#options = options;
        const seed = Math.floor(options.random() * MAX_SEED);
        this.#retryBudget = new RetryBudget({ ...RETRY_OPTIONS, ...READ_RETRY_LIMITS, seed });
    }

    /**
     * Runs an order and updates the group's state from its result. A `repeatable` order is given up when its endpoint
     * becomes unreachable, or when it is overdue.
     */
    async run(order: StatementOrder, repeatable: boolean): Promise<StatementOrderResult> {
        const endpoint = this.#options.endpoint(order.endpoint);
        if (endpoint === undefined) {
            return UNREACHABLE;
        }
        const { balance, clock } = this.#options;
        const startedAt = clock.now();
        // Later statements of a transaction and writes have no choice among endpoints.
        if (order.opening.kind !== "continued" && !changesData(order)) {
            balance.sent(order.endpoint);
        }
        this.#running.set(order.session, order.endpoint);
        const result = await this.#runMeasured(endpoint, order, repeatable);
        this.#running.delete(order.session);
        this.#cancelled.delete(order.session);
        balance.ran(requiresPrimary(order), result, clock.now() - startedAt, clock.now());
        return result;
    }

    /**
     * Removes the order of a session whose caller has left from the queue in which it waits, here or at another host.
     * What was sent to an endpoint already runs to its end.
     */
    cancel(session: string): void {
        const endpoint = this.#running.get(session);
        if (endpoint === undefined) {
            return;
        }
        this.#cancelled.add(session);
        if (this.#options.endpoint(endpoint)?.cancel(session) !== true) {
            this.#options.relay.cancel(session);
        }
    }

    /** Removes a waiting order of another host's caller, who has left. */
    cancelLocally(endpoint: string, session: string): void {
        this.#options.endpoint(endpoint)?.cancel(session);
    }

    #runMeasured(endpoint: GroupEndpoint, order: StatementOrder, repeatable: boolean): Promise<StatementOrderResult> {
        if (!repeatable) {
            return endpoint.measure(order, () => this.#runDirectlyOrRelayed(endpoint, order));
        }
        this.#retryBudget.attempted(this.#options.clock.now());
        return endpoint.measure(order, () =>
            endpoint.abandonWhenStalled(this.#runDirectlyOrRelayed(endpoint, order), {
                mayRetry: () => this.mayRetry(order.endpoint),
                ended: () => this.#endAbandoned(order),
            }));
    }

    /** Runs an order of another host over a connection of this host. */
    async runLocally(order: StatementOrder): Promise<StatementOrderResult> {
        const endpoint = this.#options.endpoint(order.endpoint);
        if (endpoint === undefined || (order.opening.kind !== "continued" && !endpoint.isDirectlyReachable)) {
            return UNREACHABLE;
        }
        return endpoint.measure(order, () => this.#runOn(endpoint, order));
    }

    /** Takes a retry from the budget, which keeps retried reads from multiplying the load of overloaded endpoints. */
    mayRetry(endpoint: string): boolean {
        return this.#retryBudget.retry(endpoint, 1, this.#options.clock.now()) !== undefined;
    }

    endTransaction(endpoint: string, transaction: string): void {
        const { relay, group } = this.#options;
        if (!relay.endTransaction(group, endpoint, transaction)) {
            this.endLocally(endpoint, transaction);
        }
    }

    /** Rolls back a transaction that runs over a connection of this host. */
    endLocally(endpoint: string, transaction: string): void {
        this.#options.endpoint(endpoint)?.endTransaction(transaction);
    }

    #endAbandoned({ endpoint, transaction }: StatementOrder): void {
        if (transaction !== undefined) {
            this.endTransaction(endpoint, transaction);
        }
    }

    /** Runs an order over a connection of this host where possible, otherwise over one of another host. */
    async #runDirectlyOrRelayed(endpoint: GroupEndpoint, order: StatementOrder): Promise<StatementOrderResult> {
        const { clock, relay } = this.#options;
        const isContinued = order.opening.kind === "continued";
        const isOwn = isContinued ? endpoint.pool.holds(order.transaction ?? "") : endpoint.isDirectlyReachable;
        if (!isOwn) {
            return this.#relay(endpoint, order);
        }
        if (isContinued) {
            return this.#runOn(endpoint, order);
        }
        const preferredHosts = relay.preferredHosts(order);
        if (preferredHosts.length === 0) {
            return this.#runOnOwnFirst(endpoint, order);
        }
        const startedAt = clock.now();
        const patienceMs = Math.min(order.patienceMs, MAX_FULL_POOL_WAIT_MS);
        const preferred = await this.#relay(endpoint, { ...order, patienceMs }, preferredHosts);
        const leftMs = order.patienceMs - (clock.now() - startedAt);
        return needsOtherHost(preferred) && leftMs > 0 && !this.#cancelled.has(order.session)
            ? this.#runOnOwnFirst(endpoint, { ...order, patienceMs: leftMs })
            : preferred;
    }

    /** Runs an order that begins over a connection of this host or, without a free one, of another host. */
    async #runOnOwnFirst(endpoint: GroupEndpoint, order: StatementOrder): Promise<StatementOrderResult> {
        const { clock, relay, group } = this.#options;
        if (!relay.canReach(group, order.endpoint)) {
            return this.#runOn(endpoint, order);
        }
        const startedAt = clock.now();
        const own = await this.#runOn(endpoint, {
            ...order,
            patienceMs: Math.min(order.patienceMs, MAX_FULL_POOL_WAIT_MS),
        });
        const leftMs = order.patienceMs - (clock.now() - startedAt);
        const mayRelay = leftMs > 0 && !this.#cancelled.has(order.session);
        return needsOtherHost(own) && mayRelay ? this.#relay(endpoint, { ...order, patienceMs: leftMs }) : own;
    }

    async #runOn(endpoint: GroupEndpoint, order: StatementOrder): Promise<StatementOrderResult> {
        const { elapsed, state } = this.#options;
        const startedAt = elapsed.now();
        if (!requiresPrimary(order)) {
            const result = await endpoint.run(order);
            state.recordResult(order.endpoint, result, startedAt);
            return result;
        }
        const { permits, group } = this.#options;
        permits.started(group);
        const result = await this.#runOnPrimary(endpoint, order);
        permits.ended(group);
        return result;
    }

    /** Runs an order that only the primary may run, and withholds an answer that may come from a former primary. */
    async #runOnPrimary(endpoint: GroupEndpoint, order: StatementOrder): Promise<StatementOrderResult> {
        const { elapsed, permits, state, group } = this.#options;
        const sentAt = elapsed.now();
        const result = await endpoint.run(order);
        const mayPassOn = result.kind !== "answered" || await this.#waitFor(
            () => permits.mayAcknowledge(group, order.endpoint),
            () => permits.isEnded(group, order.endpoint),
            sentAt + order.timeoutMs,
        );
        if (mayPassOn) {
            state.recordResult(order.endpoint, result, sentAt);
            return result;
        }
        return this.#withheld(order, result);
    }

    /** The result of an order whose answer is not passed on. A read that it answered did not run in time to be fresh. */
    #withheld(order: StatementOrder, result: StatementOrderResult): StatementOrderResult {
        if (result.kind === "answered" && result.answer.completion.kind === "error") {
            return result;
        }
        if (changesData(order)) {
            return { kind: "unknown", reason: UnknownReason.Superseded };
        }
        if (order.transaction !== undefined) {
            this.endLocally(order.endpoint, order.transaction);
        }
        return { kind: "notRun", reason: NotRunReason.NotPrimary, position: undefined };
    }

    /** Waits until a condition holds. Resolves to false once `isHopeless` holds or the time has passed. */
    async #waitFor(holds: () => boolean, isHopeless: () => boolean, endAt: number): Promise<boolean> {
        const { elapsed } = this.#options;
        while (!holds()) {
            if (isHopeless() || elapsed.now() >= endAt) {
                return false;
            }
            await new Promise(resolve => setTimeout(resolve, PERMIT_CHECK_MS));
        }
        return true;
    }

    /** Runs an order on another host: on the first that can of those given, or of all that hold connections. */
    async #relay(
        endpoint: GroupEndpoint,
        order: StatementOrder,
        hosts?: readonly string[],
    ): Promise<StatementOrderResult> {
        const { clock, elapsed, relay, state } = this.#options;
        const sentAt = elapsed.now();
        const startedAt = clock.now();
        const { result, leader: primaryPosition, load } = await (hosts === undefined
            ? relay.run(order)
            : relay.runInTurn(order, hosts));
        if (load !== undefined) {
            endpoint.loadReported(load, clock.now() - startedAt);
        }
        state.recordResult(order.endpoint, result, sentAt);
        if (primaryPosition !== undefined) {
            state.recordPrimaryPosition(primaryPosition, sentAt);
        }
        return result;
    }
}

/** Returns true when the order did not run for lack of a connection or a lease; another host may have one. */
function needsOtherHost(result: StatementOrderResult): boolean {
    return result.kind === "notRun"
        && (result.reason === NotRunReason.Unreachable || result.reason === NotRunReason.NoConnection
            || result.reason === NotRunReason.NoLease);
}
