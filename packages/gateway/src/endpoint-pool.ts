import { type Clock, PatientTimer } from "@medlarledge/runtime";
import {
    type ConnectFailure,
    type EndpointAddress,
    type EndpointConnector,
    type LogPosition,
    NotRunReason,
    type Order,
    type OrderResult,
    UnknownReason,
} from "@medlarledge/statements";
import { KeptTransactions } from "./kept-transactions.js";
import { runOrder } from "./order-run.js";
import { type ConnectionEvents, PooledConnection } from "./pooled-connection.js";
import { WaitQueue } from "./wait-queue.js";

/** Time for a new connection. Endpoints take 12 ms when they have a free slot; a busy one takes longer. */
const CONNECT_TIMEOUT_MS = 500;

/** Pause after a failed attempt to connect before the next one. */
const RECONNECT_PAUSE_MS = 100;

/** A connection that was not needed for this long is closed; opening one again takes 12 ms and a slot for that time. */
const IDLE_MS = 3_000;

/** Time for the answers that are outstanding when a connection is given back; ending a transaction needs no slot. */
const RETURN_TIMEOUT_MS = 500;

/**
 * While others wait for a connection, a transaction whose caller has sent nothing for this long is rolled back. Callers
 * pause for up to 20 ms between statements, and operations have at least 600 ms.
 */
const MOST_REST_MS = 150;

/**
 * Connections that wait for an overdue answer and are replaced before it comes; endpoints have a few to spare beyond all
 * shares, and refuse what is too much.
 */
const MOST_REPLACED = 2;

const ROLLBACK = { kind: "rollback" } as const;

/** How the endpoint answered, for judging whether it can be used. */
export interface PoolEvents {
    answered(): void;
    connected(): void;
    /** An attempt that began at `startedAt` failed. */
    connectFailed(failure: ConnectFailure, startedAt: number): void;
    /** The endpoint or the network closed a connection. */
    closed(reason: string): void;
    /** A resting transaction was rolled back, since its connection is needed. */
    evicted(eviction: Eviction): void;
}

export interface Eviction {
    readonly transaction: string;
    /** The last request in it. */
    readonly requestId: string;
    readonly restedMs: number;
    /** Orders that wait for a connection. */
    readonly waiting: number;
}

export interface EndpointPoolOptions {
    readonly address: EndpointAddress;
    readonly connector: EndpointConnector;
    readonly clock: Clock;
    /** Connections that this process may hold. */
    readonly limit: () => number;
    /** Time that an order takes at the endpoint on average. */
    readonly averageMs: () => number;
    /** Time after which an order is overdue. */
    readonly overdueMs: () => number;
    readonly events: PoolEvents;
}

/** What somebody who waits for a connection needs of it. */
type Need = Pick<Order, "priority" | "patienceMs" | "values">;

interface Waiting {
    readonly need: Need;
    readonly granted: (connection: PooledConnection | undefined) => void;
}

/** A probe goes before all requests; it occupies no slot of the endpoint. */
const PROBE_PRIORITY = -1;

export type ProbeResult =
    | { readonly kind: "leads"; readonly position: LogPosition | undefined; }
    | { readonly kind: "follows"; readonly position: LogPosition | undefined; }
    /** No connection was free or could be opened. */
    | { readonly kind: "notAsked"; }
    | { readonly kind: "unanswered"; };

/** The connections of one process to one endpoint. */
export class EndpointPool {
    readonly #options: EndpointPoolOptions;
    readonly #all = new Set<PooledConnection>();
    readonly #idle: PooledConnection[] = [];
    /** When each idle connection was last needed. */
    readonly #idleSince = new Map<PooledConnection, number>();
    /** Connections in use, and since when. */
    readonly #lent = new Map<PooledConnection, number>();
    readonly #transactions = new KeptTransactions();
    readonly #waiting = new WaitQueue<Waiting>();
    readonly #connectionEvents: ConnectionEvents;
    #opening = 0;
    #pausedUntil = 0;
    #expiryTimer: NodeJS.Timeout | undefined;
    #evictionTimer: NodeJS.Timeout | undefined;
    #closed = false;

    constructor(options: EndpointPoolOptions) {
        this.#options = options;
        this.#connectionEvents = {
            answered: () => options.events.answered(),
            idle: connection => this.#settle(connection),
            closed: (connection, reason) => this.#connectionClosed(connection, reason),
        };
    }

    /** Open connections, and those being opened. */
    get size(): number {
        return this.#all.size + this.#opening;
    }

    /** Connections that count against the limit. */
    get #counted(): number {
        const overdueSince = this.#options.clock.now() - this.#options.overdueMs();
        const overdue = [...this.#lent.values()].filter(since => since < overdueSince).length;
        return this.size - Math.min(MOST_REPLACED, overdue);
    }

    get idle(): number {
        return this.#idle.length;
    }

    /** Orders that wait for a connection. */
    get waiting(): number {
        return this.#waiting.size;
    }

    /** Connections that run an order or hold a caller's transaction. */
    get inUse(): number {
        return this.#all.size - this.#idle.length;
    }

    /** Connections that hold a caller's transaction. */
    get transactions(): number {
        return this.#transactions.size;
    }

    /** True while a connection here is in the caller's transaction. */
    holds(transaction: string): boolean {
        return this.#transactions.has(transaction);
    }

    /** Runs an order; it waits for a connection as long as the order's patience lasts. */
    async run(order: Order): Promise<OrderResult> {
        if (order.opening.kind === "continued") {
            const transaction = order.transaction ?? "";
            const connection = this.#transactions.connectionOf(transaction);
            if (connection === undefined) {
                return { kind: "notRun", reason: NotRunReason.TransactionLost, position: undefined };
            }
            this.#transactions.runs(transaction);
            return this.#runOn(connection, order);
        }
        const connection = await this.#acquire(order);
        if (connection === undefined) {
            const reason = this.#all.size === 0 ? NotRunReason.Unreachable : NotRunReason.NoConnection;
            return { kind: "notRun", reason, position: undefined };
        }
        return this.#runOn(connection, order);
    }

    /** Asks the endpoint whether it leads, by beginning a transaction that only a leader begins. */
    async probe(timeoutMs: number): Promise<ProbeResult> {
        const connection = await this.#acquire({ priority: PROBE_PRIORITY, patienceMs: timeoutMs, values: [] });
        if (connection === undefined) {
            return { kind: "notAsked" };
        }
        const { now } = this.#options.clock;
        const timer = new PatientTimer(timeoutMs, now, () => connection.close("a probe was not answered"));
        const reply = await connection.ask([{ kind: "begin", readOnly: false, after: undefined }, ROLLBACK], 0);
        timer.cancel();
        this.#giveBack(connection);
        if (reply.kind === "lost") {
            return { kind: "unanswered" };
        }
        const { completion, position } = reply.answer;
        return { kind: completion.kind === "done" ? "leads" : "follows", position };
    }

    /** Rolls a caller's transaction back and frees its connection. */
    endTransaction(transaction: string): void {
        const connection = this.#transactions.connectionOf(transaction);
        this.#transactions.delete(transaction);
        if (connection === undefined || connection.isClosed) {
            return;
        }
        if (connection.unanswered > 0) {
            // Its statement still runs: closing rolls back at once, and nobody waits for the answer any more.
            connection.close("the caller left its transaction");
            return;
        }
        this.#rollBack(connection);
    }

    /** Closes connections that nobody has needed for a while, but `count` of them: others may need the places. */
    trim(count: number): void {
        const { clock } = this.#options;
        for (const [connection, idleSince] of [...this.#idleSince]) {
            if (this.size > count && clock.now() - idleSince > IDLE_MS) {
                connection.close("not needed");
            }
        }
    }

    /** Opens connections in place of those whose answers are overdue, if orders wait. */
    replaceOverdue(): void {
        if (this.#waiting.size > 0) {
            this.#serve();
        }
    }

    /** Opens connections until `count` are there or being opened. */
    warm(count: number): void {
        while (this.size < Math.min(count, this.#options.limit()) && this.#mayOpen()) {
            void this.#open();
        }
    }

    /** Takes no more orders; transactions go on until they end. */
    close(): void {
        this.#closed = true;
        clearTimeout(this.#expiryTimer);
        clearTimeout(this.#evictionTimer);
        this.#refuse(this.#waiting.clear());
        for (const connection of [...this.#idle]) {
            connection.close("the endpoint leaves");
        }
    }

    async #runOn(connection: PooledConnection, order: Order): Promise<OrderResult> {
        this.#lent.set(connection, this.#options.clock.now());
        const result = await this.#limited(connection, order);
        this.#keep(connection, order, result);
        this.#giveBack(connection);
        return result;
    }

    /** Ends the use of a connection; answers that are still outstanding on it are waited for. */
    #giveBack(connection: PooledConnection): void {
        this.#lent.delete(connection);
        if (connection.unanswered === 0) {
            this.#settle(connection);
        }
        else {
            this.#limitReturn(connection);
        }
    }

    #limited(connection: PooledConnection, order: Order): Promise<OrderResult> {
        return new Promise(resolve => {
            const timer = new PatientTimer(order.timeoutMs, this.#options.clock.now, () => {
                resolve({ kind: "unknown", reason: UnknownReason.Timeout });
                connection.close("no answer in time");
            });
            void runOrder(connection, order).then(result => {
                timer.cancel();
                resolve(result);
            });
        });
    }

    /** A transaction keeps its connection from its first statement to its end. */
    #keep(connection: PooledConnection, order: Order, result: OrderResult): void {
        const { opening, transaction, statement, requestId } = order;
        if (transaction === undefined || connection.isClosed) {
            return;
        }
        const open = result.kind === "answered" && result.answer.state === "open" && statement.kind !== "commit";
        if (open) {
            this.#transactions.rests(transaction, connection, requestId, this.#options.clock.now());
            this.#evictWhenNeeded();
            return;
        }
        this.#transactions.delete(transaction);
        if (opening.kind !== "bare" && !connection.isClean) {
            this.#rollBack(connection);
        }
    }

    #rollBack(connection: PooledConnection): void {
        void connection.ask([ROLLBACK], 0);
        this.#limitReturn(connection);
    }

    /** Closes a connection whose last answers do not come, so that it does not count against the limit for ever. */
    #limitReturn(connection: PooledConnection): void {
        new PatientTimer(RETURN_TIMEOUT_MS, this.#options.clock.now, () => {
            if (connection.unanswered > 0 && !this.#lent.has(connection)) {
                connection.close("the end of a transaction was not answered");
            }
        });
    }

    /** Gives a connection without outstanding answers to the next one that waits. */
    #settle(connection: PooledConnection): void {
        const isKept = this.#lent.has(connection) || this.#transactions.isKept(connection);
        if (isKept || connection.isClosed || this.#idle.includes(connection)) {
            return;
        }
        if (!connection.isClean || this.#closed || this.#counted > this.#options.limit()) {
            connection.close("not needed any more");
            return;
        }
        this.#idle.push(connection);
        this.#idleSince.set(connection, this.#options.clock.now());
        this.#serve();
    }

    #acquire(need: Need): Promise<PooledConnection | undefined> {
        return new Promise(resolve => {
            if (this.#closed || this.#options.limit() < 1) {
                resolve(undefined);
                return;
            }
            if (this.#expectedWaitMs(need) > need.patienceMs) {
                resolve(undefined);
                return;
            }
            const giveUpAt = this.#options.clock.now() + need.patienceMs;
            this.#waiting.push({ item: { need, granted: resolve }, priority: need.priority, giveUpAt });
            this.#serve();
        });
    }

    /** Time until those before have had a connection, each for an average order. */
    #expectedWaitMs({ priority }: Need): number {
        return this.#waiting.ahead(priority) * this.#options.averageMs() / this.#options.limit();
    }

    #serve(): void {
        while (this.#idle.length > 0) {
            const next = this.#waiting.shift();
            if (next === undefined) {
                break;
            }
            next.granted(this.#takeIdle(next.need));
        }
        if (this.#waiting.size > this.#opening && this.#counted < this.#options.limit() && this.#mayOpen()) {
            void this.#open();
        }
        this.#scheduleExpiry();
        this.#evictWhenNeeded();
    }

    /** While orders wait and no connection can be opened, takes one from the transaction that rests the longest. */
    #evictWhenNeeded(): void {
        clearTimeout(this.#evictionTimer);
        const resting = this.#transactions.longestResting();
        const isNeeded = this.#waiting.size > this.#opening && this.#counted >= this.#options.limit();
        if (resting === undefined || !isNeeded) {
            return;
        }
        const restedMs = this.#options.clock.now() - resting.restsSince;
        if (restedMs < MOST_REST_MS) {
            this.#evictionTimer = setTimeout(() => this.#evictWhenNeeded(), Math.ceil(MOST_REST_MS - restedMs));
            return;
        }
        const { key, requestId, connection } = resting;
        this.#transactions.delete(key);
        this.#options.events.evicted({ transaction: key, requestId, restedMs, waiting: this.#waiting.size });
        this.#rollBack(connection);
    }

    /** Prefers a connection with the session's values, which saves a reset. */
    #takeIdle(need: Need): PooledConnection | undefined {
        const fitting = this.#idle.findLastIndex(connection => connection.hasValues(need.values));
        const [connection] = this.#idle.splice(fitting < 0 ? this.#idle.length - 1 : fitting, 1);
        if (connection !== undefined) {
            this.#idleSince.delete(connection);
            this.#lent.set(connection, this.#options.clock.now());
        }
        return connection;
    }

    #mayOpen(): boolean {
        return !this.#closed && this.#options.clock.now() >= this.#pausedUntil;
    }

    async #open(): Promise<void> {
        const { connector, address, clock, events } = this.#options;
        this.#opening += 1;
        const startedAt = clock.now();
        const connected = await connector.connect(address, CONNECT_TIMEOUT_MS);
        this.#opening -= 1;
        if (!connected.ok) {
            this.#pausedUntil = clock.now() + RECONNECT_PAUSE_MS;
            events.connectFailed(connected.failure, startedAt);
            this.#openFailed();
            return;
        }
        const connection = new PooledConnection(connected.connection, this.#connectionEvents);
        this.#all.add(connection);
        events.connected();
        this.#settle(connection);
    }

    /** Without any connection those that wait are refused at once, so that they can go elsewhere. */
    #openFailed(): void {
        if (this.#all.size === 0 && this.#opening === 0) {
            this.#refuse(this.#waiting.clear());
        }
    }

    #connectionClosed(connection: PooledConnection, reason: string): void {
        this.#all.delete(connection);
        this.#idleSince.delete(connection);
        const at = this.#idle.indexOf(connection);
        if (at >= 0) {
            this.#idle.splice(at, 1);
        }
        this.#transactions.deleteOn(connection);
        this.#options.events.closed(reason);
        this.#serve();
    }

    #refuse(waiting: readonly Waiting[]): void {
        for (const { granted } of waiting) {
            granted(undefined);
        }
    }

    #scheduleExpiry(): void {
        clearTimeout(this.#expiryTimer);
        const next = this.#waiting.nextExpiry();
        if (next !== undefined) {
            const delay = Math.max(1, next - this.#options.clock.now());
            this.#expiryTimer = setTimeout(() => {
                this.#refuse(this.#waiting.expired(this.#options.clock.now()));
                this.#serve();
            }, delay);
        }
    }
}
