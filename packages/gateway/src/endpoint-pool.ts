import { StallTolerantTimer } from "@medlarledge/runtime";
import {
    type Answer,
    ErrorCode,
    type LogPosition,
    NotRunReason,
    type StatementOrder,
    type StatementOrderResult,
    TransactionStates,
    UnknownReason,
} from "@medlarledge/statements";
import type { ConnectionPoolEvents, ConnectionPoolOptions } from "./connection-pool-options.js";
import { ConnectionPool } from "./connection-pool.js";
import { OpenTransactions } from "./open-transactions.js";
import type { PooledConnection } from "./pooled-connection.js";
import { requiresPrimary } from "./primary-order.js";
import { runOrder } from "./run-order.js";

/**
 * A transaction that is idle for longer is rolled back if other orders wait for a connection. Callers pause for up to
 * 20 ms between statements, and operations have at least 600 ms.
 */
const MAX_IDLE_IN_TRANSACTION_MS = 150;

/** Probes take precedence over all requests; they occupy no slot of the endpoint. */
const PROBE_PRIORITY = -1;

const LEAVING: StatementOrderResult = { kind: "notRun", reason: NotRunReason.Leaving, position: undefined };

const NO_LEASE: StatementOrderResult = { kind: "notRun", reason: NotRunReason.NoLease, position: undefined };

/** Callbacks about connections and answers, from which the reachability of the endpoint is determined. */
export interface EndpointPoolEvents extends Omit<ConnectionPoolEvents, "closed" | "demandChanged"> {
    /** The endpoint or the network closed a connection. */
    closed(reason: string): void;
    /** An idle transaction was rolled back because another order needs its connection. */
    evicted(eviction: Eviction): void;
}

export interface Eviction {
    readonly transaction: string;
    /** Id of its latest request. */
    readonly requestId: string;
    readonly idleMs: number;
    /** Number of orders that wait for a connection. */
    readonly waiting: number;
}

export interface EndpointPoolOptions extends Omit<ConnectionPoolOptions, "isReserved" | "events"> {
    /** Whether statements that only the primary may run can be sent to the endpoint now. */
    readonly mayUsePrimary: () => boolean;
    /** Whether orders that do not continue a transaction can be sent to the endpoint now. */
    readonly takesNewWork: () => boolean;
    readonly events: EndpointPoolEvents;
}

export type ProbeResult =
    | { readonly kind: "leads"; readonly position: LogPosition | undefined; }
    | { readonly kind: "follows"; readonly position: LogPosition | undefined; }
    /** The endpoint answered, but not whether it is the primary. */
    | { readonly kind: "answered"; readonly position: LogPosition | undefined; }
    /** The probe was not sent: no connection was free or could be opened. */
    | { readonly kind: "notAsked"; }
    | { readonly kind: "unanswered"; };

/**
 * Runs statement orders over the connections of one process to one endpoint. A connection stays reserved for a caller's
 * transaction until the transaction ends.
 */
export class EndpointPool {
    readonly #options: EndpointPoolOptions;
    readonly #connectionPool: ConnectionPool;
    readonly #transactions = new OpenTransactions();
    #evictionTimer: NodeJS.Timeout | undefined;

    constructor(options: EndpointPoolOptions) {
        this.#options = options;
        const { events } = options;
        this.#connectionPool = new ConnectionPool({
            ...options,
            isReserved: connection => this.#transactions.isReserved(connection),
            events: {
                answered: () => events.answered(),
                opening: opening => events.opening(opening),
                connected: () => events.connected(),
                connectFailed: (failure, startedAt) => events.connectFailed(failure, startedAt),
                closed: (connection, reason) => {
                    this.#transactions.deleteByConnection(connection);
                    events.closed(reason);
                },
                demandChanged: () => this.#evictIfNeeded(),
            },
        });
    }

    /** Number of connections that are open or being opened. */
    get size(): number {
        return this.#connectionPool.size;
    }

    /** Number of idle connections. */
    get idle(): number {
        return this.#connectionPool.idle;
    }

    /** Number of orders that wait for a connection. */
    get waiting(): number {
        return this.#connectionPool.waiting;
    }

    /** Number of connections that are reserved for a caller's transaction. */
    get transactions(): number {
        return this.#transactions.size;
    }

    /** Returns true while a connection of this pool is reserved for the transaction. */
    holds(transaction: string): boolean {
        return this.#transactions.has(transaction);
    }

    /** Runs an order. It waits for a connection for up to the order's `patienceMs`. */
    run(order: StatementOrder): Promise<StatementOrderResult> {
        return order.opening.kind === "continued" ? this.#runInTransaction(order) : this.#runOnFreeConnection(order);
    }

    /**
     * Probes whether the endpoint is the primary, by beginning a read-write transaction, which a replica refuses.
     * @param timeoutMs limit for getting a connection, and again for the answer
     */
    async probe(timeoutMs: number): Promise<ProbeResult> {
        const connection = await this.#connectionPool.acquire({
            priority: PROBE_PRIORITY,
            patienceMs: timeoutMs,
            timeoutMs,
            values: [],
            customer: undefined,
            isProbe: true,
        });
        if (connection === undefined) {
            return { kind: "notAsked" };
        }
        const { now } = this.#options.clock;
        const timer = new StallTolerantTimer(timeoutMs, now, () => connection.close("a probe was not answered"));
        const commands = [{ kind: "begin", readOnly: false, after: undefined }, { kind: "rollback" }] as const;
        const probeReply = await connection.sendCommands(commands, 0);
        timer.cancel();
        this.#connectionPool.release(connection);
        if (probeReply.kind === "lost") {
            return { kind: "unanswered" };
        }
        const result = probeResultOf(probeReply.answer);
        if (result.kind === "answered" && probeReply.answer.completion.kind === "done") {
            // Only a begin opens a transaction: this answers the rollback, and the answer to the begin is lost.
            connection.close("an answer was lost");
        }
        return result;
    }

    /** Rolls a caller's transaction back and frees its connection. */
    endTransaction(transaction: string): void {
        const connection = this.#transactions.connectionOf(transaction);
        this.#transactions.delete(transaction);
        if (connection === undefined || connection.isClosed) {
            return;
        }
        if (connection.unanswered > 0) {
            // A statement still runs. Closing the connection rolls back at once, and its answer is not needed any more.
            connection.close("its transaction ended while a statement was running");
            return;
        }
        this.#connectionPool.rollBack(connection);
    }

    /** Refuses the waiting orders of a session whose caller has left. Returns false when none waits. */
    cancel(session: string): boolean {
        return this.#connectionPool.cancel(session);
    }

    /** Opens connections until `count` are open or being opened. */
    warmUp(count: number): void {
        this.#connectionPool.warmUp(count);
    }

    /** Closes idle connections beyond `count`, and replaces connections whose answers are overdue. */
    maintain(count: number): void {
        this.#connectionPool.closeIdle(count);
        this.#connectionPool.replaceOverdue();
    }

    /** Stops accepting orders. Open transactions may continue until they end. */
    close(): void {
        clearTimeout(this.#evictionTimer);
        this.#connectionPool.close();
    }

    async #runOnFreeConnection(order: StatementOrder): Promise<StatementOrderResult> {
        const refusal = this.#refusalOf(order);
        if (refusal !== undefined) {
            return refusal;
        }
        const connection = await this.#connectionPool.acquire(order);
        if (connection === undefined) {
            const reason = this.#connectionPool.isEmpty ? NotRunReason.Unreachable : NotRunReason.NoConnection;
            return { kind: "notRun", reason, position: undefined };
        }
        // The endpoint may have begun to leave, or the lease may have ended, while the order waited.
        const laterRefusal = this.#refusalOf(order);
        if (laterRefusal !== undefined) {
            this.#connectionPool.release(connection);
            return laterRefusal;
        }
        return this.#runOn(connection, order);
    }

    /** Why an order that does not continue a transaction cannot be sent now; undefined if it can. */
    #refusalOf(order: StatementOrder): StatementOrderResult | undefined {
        if (!this.#options.takesNewWork()) {
            return LEAVING;
        }
        return requiresPrimary(order) && !this.#options.mayUsePrimary() ? NO_LEASE : undefined;
    }

    #runInTransaction(order: StatementOrder): Promise<StatementOrderResult> {
        const transaction = order.transaction ?? "";
        const connection = this.#transactions.connectionOf(transaction);
        if (connection === undefined || connection.owner !== order.customer) {
            return Promise.resolve({ kind: "notRun", reason: NotRunReason.TransactionLost, position: undefined });
        }
        if (requiresPrimary(order) && !this.#options.mayUsePrimary()) {
            this.endTransaction(transaction);
            return Promise.resolve(NO_LEASE);
        }
        this.#transactions.markRunning(transaction);
        return this.#runOn(connection, order);
    }

    async #runOn(connection: PooledConnection, order: StatementOrder): Promise<StatementOrderResult> {
        this.#connectionPool.markInUse(connection);
        const result = await this.#runWithTimeout(connection, order);
        if (result.kind === "answered") {
            this.#connectionPool.orderAnswered();
        }
        else if (result.kind === "notRun" && result.reason === NotRunReason.Busy) {
            this.#connectionPool.orderRejected();
        }
        this.#updateTransaction(connection, order, result);
        this.#connectionPool.release(connection);
        return result;
    }

    #runWithTimeout(connection: PooledConnection, order: StatementOrder): Promise<StatementOrderResult> {
        return new Promise(resolve => {
            const timer = new StallTolerantTimer(order.timeoutMs, this.#options.clock.now, () => {
                resolve({ kind: "unknown", reason: UnknownReason.Timeout });
                connection.close("no answer in time");
            });
            void runOrder(connection, order).then(result => {
                timer.cancel();
                resolve(result);
            });
        });
    }

    /** Reserves the connection while the order's transaction is open, and releases it after the transaction's end. */
    #updateTransaction(connection: PooledConnection, order: StatementOrder, result: StatementOrderResult): void {
        const { opening, transaction, statement, requestId } = order;
        if (transaction === undefined || connection.isClosed) {
            return;
        }
        const isOpen = result.kind === "answered" && result.answer.state === "open" && statement.kind !== "commit";
        if (isOpen) {
            this.#transactions.markIdle(transaction, connection, requestId, this.#options.clock.now());
            this.#evictIfNeeded();
            return;
        }
        this.#transactions.delete(transaction);
        if (opening.kind !== "bare" && !connection.isClean) {
            this.#connectionPool.rollBack(connection);
        }
    }

    /** While orders wait and no connection can be opened, rolls back the transaction that has been idle the longest. */
    #evictIfNeeded(): void {
        clearTimeout(this.#evictionTimer);
        const idleTransaction = this.#transactions.longestIdle();
        if (idleTransaction === undefined || !this.#connectionPool.isExhausted) {
            return;
        }
        const idleMs = this.#options.clock.now() - idleTransaction.idleSince;
        if (idleMs < MAX_IDLE_IN_TRANSACTION_MS) {
            this.#evictionTimer = setTimeout(
                () => this.#evictIfNeeded(),
                Math.ceil(MAX_IDLE_IN_TRANSACTION_MS - idleMs),
            );
            return;
        }
        const { key, requestId, connection } = idleTransaction;
        this.#transactions.delete(key);
        this.#options.events.evicted({ transaction: key, requestId, idleMs, waiting: this.#connectionPool.waiting });
        this.#connectionPool.rollBack(connection);
    }
}

/** Only the refusal as read-only shows that an endpoint follows; other errors say nothing of its role. */
function probeResultOf({ completion, state, position }: Answer): ProbeResult {
    if (completion.kind === "done") {
        return { kind: state === TransactionStates.Open ? "leads" : "answered", position };
    }
    return { kind: completion.code === ErrorCode.ReadOnly ? "follows" : "answered", position };
}
