import { StallTolerantTimer } from "@medlarledge/runtime";
import {
    type LogPosition,
    NotRunReason,
    type StatementOrder,
    type StatementOrderResult,
    UnknownReason,
} from "@medlarledge/statements";
import { ConnectionStock, type StockEvents, type StockOptions } from "./connection-stock.js";
import { KeptTransactions } from "./kept-transactions.js";
import { runOrder } from "./order-run.js";
import type { PooledConnection } from "./pooled-connection.js";

/**
 * While others wait for a connection, a transaction whose caller has sent nothing for this long is rolled back. Callers
 * pause for up to 20 ms between statements, and operations have at least 600 ms.
 */
const MOST_REST_MS = 150;

/** A probe goes before all requests; it occupies no slot of the endpoint. */
const PROBE_PRIORITY = -1;

/** How the endpoint answered, for judging whether it can be used. */
export interface PoolEvents extends Omit<StockEvents, "closed" | "demandChanged"> {
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

export interface EndpointPoolOptions extends Omit<StockOptions, "isKept" | "events"> {
    readonly events: PoolEvents;
}

export type ProbeResult =
    | { readonly kind: "leads"; readonly position: LogPosition | undefined; }
    | { readonly kind: "follows"; readonly position: LogPosition | undefined; }
    /** No connection was free or could be opened. */
    | { readonly kind: "notAsked"; }
    | { readonly kind: "unanswered"; };

/** Runs orders over the connections of one process to one endpoint, and keeps callers' transactions on theirs. */
export class EndpointPool {
    readonly #options: EndpointPoolOptions;
    readonly #stock: ConnectionStock;
    readonly #transactions = new KeptTransactions();
    #evictionTimer: NodeJS.Timeout | undefined;

    constructor(options: EndpointPoolOptions) {
        this.#options = options;
        const { events } = options;
        this.#stock = new ConnectionStock({
            ...options,
            isKept: connection => this.#transactions.isKept(connection),
            events: {
                answered: () => events.answered(),
                connected: () => events.connected(),
                connectFailed: (failure, startedAt) => events.connectFailed(failure, startedAt),
                closed: (connection, reason) => {
                    this.#transactions.deleteOn(connection);
                    events.closed(reason);
                },
                demandChanged: () => this.#evictWhenNeeded(),
            },
        });
    }

    /** Open connections, and those being opened. */
    get size(): number {
        return this.#stock.size;
    }

    get idle(): number {
        return this.#stock.idle;
    }

    /** Orders that wait for a connection. */
    get waiting(): number {
        return this.#stock.waiting;
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
    run(order: StatementOrder): Promise<StatementOrderResult> {
        return order.opening.kind === "continued" ? this.#continue(order) : this.#begin(order);
    }

    /** Asks the endpoint whether it leads, by beginning a transaction that only a leader begins. */
    async probe(timeoutMs: number): Promise<ProbeResult> {
        const connection = await this.#stock.acquire({
            priority: PROBE_PRIORITY,
            patienceMs: timeoutMs,
            timeoutMs,
            values: [],
        });
        if (connection === undefined) {
            return { kind: "notAsked" };
        }
        const { now } = this.#options.clock;
        const timer = new StallTolerantTimer(timeoutMs, now, () => connection.close("a probe was not answered"));
        const commands = [{ kind: "begin", readOnly: false, after: undefined }, { kind: "rollback" }] as const;
        const reply = await connection.ask(commands, 0);
        timer.cancel();
        this.#stock.giveBack(connection);
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
        this.#stock.rollBack(connection);
    }

    /** Opens connections until `count` are there or being opened. */
    warm(count: number): void {
        this.#stock.warm(count);
    }

    /** Closes connections that are not needed beyond `count`, and replaces those whose answers are overdue. */
    maintain(count: number): void {
        this.#stock.trim(count);
        this.#stock.replaceOverdue();
    }

    /** Takes no more orders; transactions go on until they end. */
    close(): void {
        clearTimeout(this.#evictionTimer);
        this.#stock.close();
    }

    async #begin(order: StatementOrder): Promise<StatementOrderResult> {
        const connection = await this.#stock.acquire(order);
        if (connection === undefined) {
            const reason = this.#stock.isEmpty ? NotRunReason.Unreachable : NotRunReason.NoConnection;
            return { kind: "notRun", reason, position: undefined };
        }
        return this.#runOn(connection, order);
    }

    #continue(order: StatementOrder): Promise<StatementOrderResult> {
        const transaction = order.transaction ?? "";
        const connection = this.#transactions.connectionOf(transaction);
        if (connection === undefined) {
            return Promise.resolve({ kind: "notRun", reason: NotRunReason.TransactionLost, position: undefined });
        }
        this.#transactions.runs(transaction);
        return this.#runOn(connection, order);
    }

    async #runOn(connection: PooledConnection, order: StatementOrder): Promise<StatementOrderResult> {
        this.#stock.lend(connection);
        const result = await this.#limited(connection, order);
        this.#keep(connection, order, result);
        this.#stock.giveBack(connection);
        return result;
    }

    #limited(connection: PooledConnection, order: StatementOrder): Promise<StatementOrderResult> {
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

    /** A transaction keeps its connection from its first statement to its end. */
    #keep(connection: PooledConnection, order: StatementOrder, result: StatementOrderResult): void {
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
            this.#stock.rollBack(connection);
        }
    }

    /** While orders wait and no connection can be opened, takes one from the transaction that rests the longest. */
    #evictWhenNeeded(): void {
        clearTimeout(this.#evictionTimer);
        const resting = this.#transactions.longestResting();
        if (resting === undefined || !this.#stock.isShort) {
            return;
        }
        const restedMs = this.#options.clock.now() - resting.restsSince;
        if (restedMs < MOST_REST_MS) {
            this.#evictionTimer = setTimeout(() => this.#evictWhenNeeded(), Math.ceil(MOST_REST_MS - restedMs));
            return;
        }
        const { key, requestId, connection } = resting;
        this.#transactions.delete(key);
        this.#options.events.evicted({ transaction: key, requestId, restedMs, waiting: this.#stock.waiting });
        this.#stock.rollBack(connection);
    }
}
