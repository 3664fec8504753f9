import type {
    PrimaryPositionReport,
    RelayCancellation,
    RelayOrder,
    RelayResult,
    RelayRollback,
} from "@medlarledge/protocol";
import type { Clock } from "@medlarledge/runtime";
import {
    type LoadReport,
    NotRunReason,
    type StatementOrder,
    type StatementOrderResult,
    UnknownReason,
} from "@medlarledge/statements";

/** Time after which a host that refused an order gets orders for the same endpoint again, by reason. */
const REFUSAL_PAUSES_MS: Partial<Record<NotRunReason, number>> = {
    [NotRunReason.Unreachable]: 500,
    [NotRunReason.Leaving]: 500,
    // A lost lease comes back as soon as the control group has a leader.
    [NotRunReason.NoLease]: 100,
};

/** Maximum number of hosts to which one order is sent in turn. */
const MAX_HOSTS_PER_ORDER = 3;

/** Delay before another attempt to open a link that could not be opened. */
const LINK_RETRY_MS = 500;

/**
 * Maximum wait for a connection of one host while other hosts may have a free one. Statements of both users take 3 to
 * 30 ms.
 */
export const MAX_FULL_POOL_WAIT_MS = 60;

/** Limit for opening a link to a host; it takes a few ms. */
const LINK_TIMEOUT_MS = 150;

/** A host that leaves orders unanswered for this long is tried last: the link may be broken without a TCP reset. */
const QUIET_MS = 150;

/** Links to other entry hosts. */
export interface RelayLinks {
    /** Opens a link unless one is open. Resolves to false when it cannot be opened in time. */
    open(host: string, timeoutMs: number): Promise<boolean>;
    send(host: string, message: RelayOrder | RelayCancellation | RelayRollback): boolean;
}

export interface RelayClientOptions {
    /** Random id of this process. */
    readonly incarnation: string;
    readonly clock: Clock;
    readonly links: RelayLinks;
    /** Hosts that may hold connections to an endpoint for a customer, best first, without this one. */
    readonly hosts: (group: string, endpoint: string, customer: string | undefined) => readonly string[];
    /** Those of `hosts` that run the customer's orders rather than this host. */
    readonly preferredHosts: (group: string, endpoint: string, customer: string | undefined) => readonly string[];
}

interface OutstandingOrder {
    readonly host: string;
    readonly order: StatementOrder;
    /** Whether its caller has left; it is not sent to further hosts then. */
    isCancelled: boolean;
    readonly resolve: (relayed: RelayedResult) => void;
    readonly timer: NodeJS.Timeout;
}

export interface RelayedResult {
    readonly result: StatementOrderResult;
    readonly leader: PrimaryPositionReport | undefined;
    /** The answering host's report on the endpoint. */
    readonly load: LoadReport | undefined;
    readonly isCancelled?: boolean;
}

/** Runs orders over connections that other entry hosts hold. */
export class RelayClient {
    readonly #options: RelayClientOptions;
    readonly #outstanding = new Map<string, OutstandingOrder>();
    /** Hosts at which the callers' transactions run, by transaction key. */
    readonly #transactions = new Map<string, string>();
    /** For each host with outstanding orders, when it last answered or, before an answer, got the first of them. */
    readonly #unansweredSince = new Map<string, number>();
    /** Time from which a host gets orders for an endpoint again, by host and endpoint. */
    readonly #retryAt = new Map<string, number>();
    /** Hosts to which no link could be opened, with the time of the last attempt. */
    readonly #linkFailedAt = new Map<string, number>();
    #lastNumber = 0;

    constructor(options: RelayClientOptions) {
        this.#options = options;
    }

    /** Returns true when some other host may be able to run orders for the endpoint. */
    canReach(group: string, endpoint: string): boolean {
        const now = this.#options.clock.now();
        const hosts = this.#options.hosts(group, endpoint, undefined);
        this.#retryLinks(hosts, now);
        return hosts.some(host => this.#mayRelay(host, endpoint, now));
    }

    /** Runs an order on the first host that can. */
    async run(order: StatementOrder): Promise<RelayedResult> {
        if (order.opening.kind === "continued") {
            return this.#runInTransaction(order);
        }
        const { group, endpoint, customer } = order;
        return this.runInTurn(order, this.#candidates(this.#options.hosts(group, endpoint, customer), endpoint));
    }

    /**
     * Hosts that should run an order rather than this one, best first: there the customer's orders meet. Hosts that
     * leave orders unanswered are left out.
     */
    preferredHosts({ group, endpoint, customer }: StatementOrder): readonly string[] {
        const now = this.#options.clock.now();
        return this.#candidates(this.#options.preferredHosts(group, endpoint, customer), endpoint)
            .filter(host => !this.#isQuiet(host, now));
    }

    /** Runs an order that begins on the first of the hosts that can. */
    async runInTurn(order: StatementOrder, candidates: readonly string[]): Promise<RelayedResult> {
        const { clock } = this.#options;
        const giveUpAt = clock.now() + order.patienceMs;
        let last: RelayedResult = notRun(NotRunReason.Unreachable);
        const hosts = candidates.slice(0, MAX_HOSTS_PER_ORDER);
        for (const [index, host] of hosts.entries()) {
            const leftMs = giveUpAt - clock.now();
            if (leftMs <= 0) {
                return last;
            }
            const patienceMs = index === hosts.length - 1 ? leftMs : Math.min(leftMs, MAX_FULL_POOL_WAIT_MS);
            last = await this.#runAt(host, { ...order, patienceMs });
            if (last.isCancelled || !this.#isHostRefusal(last)) {
                return last;
            }
            this.#noteRefusal(host, order.endpoint, last.result);
        }
        return last;
    }

    /** Has a transaction rolled back by the host that runs it. Returns false when no other host runs it. */
    endTransaction(group: string, endpoint: string, transaction: string): boolean {
        const host = this.#transactions.get(transaction);
        this.#transactions.delete(transaction);
        if (host === undefined) {
            return false;
        }
        this.#options.links.send(host, { kind: "relayEnd", group, endpoint, transaction });
        return true;
    }

    /** Has the waiting orders of a session whose caller has left removed at the hosts to which they were sent. */
    cancel(session: string): void {
        for (const outstanding of this.#outstanding.values()) {
            if (outstanding.order.session === session && !outstanding.isCancelled) {
                outstanding.isCancelled = true;
                const { group, endpoint } = outstanding.order;
                this.#options.links.send(outstanding.host, { kind: "relayCancel", group, endpoint, session });
            }
        }
    }

    /** Handles a result. One of an order that was given up, or of a former process of this host, is ignored. */
    resultReceived({ id, result, leader, load }: RelayResult): void {
        const outstanding = this.#outstanding.get(id);
        if (outstanding !== undefined) {
            this.#unansweredSince.set(outstanding.host, this.#options.clock.now());
            this.#finish(id, outstanding);
            outstanding.resolve({ result, leader, load });
        }
    }

    /** Returns true while orders are outstanding at a host or transactions are open there. */
    uses(host: string): boolean {
        return [...this.#outstanding.values()].some(outstanding => outstanding.host === host)
            || [...this.#transactions.values()].includes(host);
    }

    /** Handles the loss of the link to a host: the transactions and outstanding answers of the host are lost. */
    disconnected(host: string): void {
        for (const [id, outstanding] of [...this.#outstanding]) {
            if (outstanding.host === host) {
                this.#finish(id, outstanding);
                outstanding.resolve(unknown(UnknownReason.RelayLost));
            }
        }
        for (const [transaction, at] of [...this.#transactions]) {
            if (at === host) {
                this.#transactions.delete(transaction);
            }
        }
    }

    #runInTransaction(order: StatementOrder): Promise<RelayedResult> {
        const host = this.#transactions.get(order.transaction ?? "");
        return host === undefined
            ? Promise.resolve(notRun(NotRunReason.TransactionLost))
            : this.#runAt(host, order);
    }

    async #runAt(host: string, order: StatementOrder): Promise<RelayedResult> {
        if (!await this.#options.links.open(host, Math.min(LINK_TIMEOUT_MS, order.patienceMs))) {
            this.#linkFailedAt.set(host, this.#options.clock.now());
            return notRun(NotRunReason.Unreachable);
        }
        this.#linkFailedAt.delete(host);
        const relayed = await this.#send(host, order);
        this.#updateTransaction(host, order, relayed.result);
        return relayed;
    }

    #send(host: string, order: StatementOrder): Promise<RelayedResult> {
        this.#lastNumber += 1;
        const id = `${this.#options.incarnation}-${this.#lastNumber}`;
        return new Promise(resolve => {
            const timer = setTimeout(() => {
                this.#forget(id, host);
                resolve(unknown(UnknownReason.Timeout));
            }, order.timeoutMs);
            const outstanding: OutstandingOrder = {
                host,
                order,
                isCancelled: false,
                resolve: relayed => resolve({ ...relayed, isCancelled: outstanding.isCancelled }),
                timer,
            };
            this.#outstanding.set(id, outstanding);
            if (!this.#unansweredSince.has(host)) {
                this.#unansweredSince.set(host, this.#options.clock.now());
            }
            if (!this.#options.links.send(host, { kind: "relayOrder", id, order })) {
                this.resultReceived({ kind: "relayResult", id, ...notRun(NotRunReason.Unreachable) });
            }
        });
    }

    #updateTransaction(host: string, { transaction, statement }: StatementOrder, result: StatementOrderResult): void {
        if (transaction === undefined) {
            return;
        }
        const isOpen = result.kind === "answered" && result.answer.state === "open" && statement.kind !== "commit";
        if (isOpen) {
            this.#transactions.set(transaction, host);
        }
        else {
            this.#transactions.delete(transaction);
        }
    }

    /**
     * Leaves out a host that does not reach the endpoint for a while. A host without a free connection is not left out,
     * since it will have one soon.
     */
    #noteRefusal(host: string, endpoint: string, result: StatementOrderResult): void {
        const pauseMs = result.kind === "notRun" ? REFUSAL_PAUSES_MS[result.reason] : undefined;
        if (pauseMs !== undefined) {
            this.#retryAt.set(keyOf(host, endpoint), this.#options.clock.now() + pauseMs);
        }
    }

    /** Returns true when the host could not run the order but another one may. */
    #isHostRefusal({ result }: RelayedResult): boolean {
        return result.kind === "notRun"
            && (result.reason === NotRunReason.NoConnection || REFUSAL_PAUSES_MS[result.reason] !== undefined);
    }

    /** Those of the hosts to which an order may be sent, best first. */
    #candidates(hosts: readonly string[], endpoint: string): readonly string[] {
        const now = this.#options.clock.now();
        this.#retryLinks(hosts, now);
        const usable = hosts.filter(host => this.#mayRelay(host, endpoint, now));
        const quietHosts = usable.filter(host => this.#isQuiet(host, now));
        return quietHosts.length === 0 ? usable : [...usable.filter(host => !quietHosts.includes(host)), ...quietHosts];
    }

    #mayRelay(host: string, endpoint: string, now: number): boolean {
        if (this.#linkFailedAt.has(host)) {
            return false;
        }
        // Without any refusal the key is not built: this runs for every host and endpoint at each check.
        return this.#retryAt.size === 0 || now >= (this.#retryAt.get(keyOf(host, endpoint)) ?? -Infinity);
    }

    #isQuiet(host: string, now: number): boolean {
        return now - (this.#unansweredSince.get(host) ?? Infinity) >= QUIET_MS;
    }

    /**
     * Retries links that could not be opened. Orders do not wait for that and are not sent to these hosts meanwhile.
     */
    #retryLinks(hosts: readonly string[], now: number): void {
        if (this.#linkFailedAt.size === 0) {
            return;
        }
        for (const host of hosts) {
            const attemptedAt = this.#linkFailedAt.get(host);
            if (attemptedAt !== undefined && now - attemptedAt >= LINK_RETRY_MS) {
                this.#linkFailedAt.set(host, now);
                void this.#retryLink(host);
            }
        }
    }

    async #retryLink(host: string): Promise<void> {
        if (await this.#options.links.open(host, LINK_TIMEOUT_MS)) {
            this.#linkFailedAt.delete(host);
        }
    }

    #finish(id: string, { host, timer }: OutstandingOrder): void {
        clearTimeout(timer);
        this.#forget(id, host);
    }

    #forget(id: string, host: string): void {
        this.#outstanding.delete(id);
        if (![...this.#outstanding.values()].some(outstanding => outstanding.host === host)) {
            this.#unansweredSince.delete(host);
        }
    }
}

function notRun(reason: NotRunReason): RelayedResult {
    return { result: { kind: "notRun", reason, position: undefined }, leader: undefined, load: undefined };
}

function unknown(reason: UnknownReason): RelayedResult {
    return { result: { kind: "unknown", reason }, leader: undefined, load: undefined };
}

function keyOf(host: string, endpoint: string): string {
    return `${host} ${endpoint}`;
}
