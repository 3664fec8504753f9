import { StandingQueue, WaitQueue } from "@medlarledge/routing";
import { type Clock, StallTolerantTimer } from "@medlarledge/runtime";
import type { ConnectFailure, EndpointAddress, EndpointConnector, StatementOrder } from "@medlarledge/statements";
import { type ConnectionEvents, PooledConnection } from "./pooled-connection.js";

/** Time for a new connection. Endpoints take 12 ms when they have a free slot; a busy one takes longer. */
const CONNECT_TIMEOUT_MS = 500;

/** Pause after a failed attempt to connect before the next one. */
const RECONNECT_PAUSE_MS = 100;

/** A connection that was not needed for this long is closed; opening one again takes 12 ms and a slot for that time. */
const IDLE_MS = 3_000;

/** Time for the answers that are outstanding when a connection is given back; ending a transaction needs no slot. */
const RETURN_TIMEOUT_MS = 500;

/**
 * Connections that wait for an overdue answer and are replaced before it comes; endpoints have a few to spare beyond all
 * shares, and refuse what is too much.
 */
const MOST_REPLACED = 2;

/** What somebody who waits for a connection needs of it. */
export type ConnectionNeed = Pick<StatementOrder, "priority" | "patienceMs" | "timeoutMs" | "values">;

interface Waiting {
    readonly need: ConnectionNeed;
    readonly granted: (connection: PooledConnection | undefined) => void;
}

export interface StockEvents {
    answered(): void;
    connected(): void;
    /** An attempt that began at `startedAt` failed. */
    connectFailed(failure: ConnectFailure, startedAt: number): void;
    /** The endpoint, the network or this process closed a connection. */
    closed(connection: PooledConnection, reason: string): void;
    /** The orders that wait, or the connections that they wait for, have changed. */
    demandChanged(): void;
}

export interface StockOptions {
    readonly address: EndpointAddress;
    readonly connector: EndpointConnector;
    readonly clock: Clock;
    /** Connections that this process may hold. */
    readonly limit: () => number;
    /** Time that an order takes at the endpoint on average. */
    readonly averageMs: () => number;
    /** Time after which an order is overdue. */
    readonly overdueMs: () => number;
    /** Whether a caller's transaction keeps the connection. */
    readonly isKept: (connection: PooledConnection) => boolean;
    readonly events: StockEvents;
}

/** Opens the connections of one process to one endpoint, lends them by priority, and closes what is not needed. */
export class ConnectionStock {
    readonly #options: StockOptions;
    readonly #all = new Set<PooledConnection>();
    readonly #idle: PooledConnection[] = [];
    /** When each idle connection was last needed. */
    readonly #idleSince = new Map<PooledConnection, number>();
    /** Connections in use, and since when. */
    readonly #lent = new Map<PooledConnection, number>();
    readonly #waiting = new WaitQueue<Waiting>();
    readonly #standing = new StandingQueue();
    readonly #connectionEvents: ConnectionEvents;
    #opening = 0;
    #pausedUntil = 0;
    #expiryTimer: NodeJS.Timeout | undefined;
    #closed = false;

    constructor(options: StockOptions) {
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

    get idle(): number {
        return this.#idle.length;
    }

    /** Orders that wait for a connection. */
    get waiting(): number {
        return this.#waiting.size;
    }

    /** True when there is no open connection. */
    get isEmpty(): boolean {
        return this.#all.size === 0;
    }

    /** True while orders wait and no connection may be opened for them. */
    get isShort(): boolean {
        return this.#waiting.size > this.#opening && this.#counted >= this.#options.limit();
    }

    /** Connections that count against the limit. */
    get #counted(): number {
        const overdueSince = this.#options.clock.now() - this.#options.overdueMs();
        const overdue = [...this.#lent.values()].filter(since => since < overdueSince).length;
        return this.size - Math.min(MOST_REPLACED, overdue);
    }

    /** Lends a connection; undefined when none becomes free in time, or none is expected to. */
    acquire(need: ConnectionNeed): Promise<PooledConnection | undefined> {
        return new Promise(resolve => {
            const now = this.#options.clock.now();
            const patienceMs = this.#standing.patienceMs(need, now);
            const isHopeless = this.#closed || this.#options.limit() < 1 || this.#expectedWaitMs(need) > patienceMs;
            if (isHopeless) {
                resolve(undefined);
                return;
            }
            const { priority } = need;
            this.#waiting.push({ item: { need, granted: resolve }, priority, giveUpAt: now + patienceMs });
            this.#serve();
        });
    }

    /** A statement runs on the connection. */
    lend(connection: PooledConnection): void {
        this.#lent.set(connection, this.#options.clock.now());
    }

    /** Ends the use of a connection; answers that are still outstanding on it are waited for. */
    giveBack(connection: PooledConnection): void {
        this.#lent.delete(connection);
        if (connection.unanswered === 0) {
            this.#settle(connection);
        }
        else {
            this.#limitReturn(connection);
        }
    }

    /** Ends the transaction on a connection that nobody uses any more. */
    rollBack(connection: PooledConnection): void {
        void connection.ask([{ kind: "rollback" }], 0);
        this.#limitReturn(connection);
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

    /** Lends no more connections; those that are in use stay until they are given back. */
    close(): void {
        this.#closed = true;
        clearTimeout(this.#expiryTimer);
        this.#refuse(this.#waiting.clear());
        for (const connection of [...this.#idle]) {
            connection.close("the endpoint leaves");
        }
    }

    /** Closes a connection whose last answers do not come, so that it does not count against the limit for ever. */
    #limitReturn(connection: PooledConnection): void {
        new StallTolerantTimer(RETURN_TIMEOUT_MS, this.#options.clock.now, () => {
            if (connection.unanswered > 0 && !this.#lent.has(connection)) {
                connection.close("the end of a transaction was not answered");
            }
        });
    }

    /** Gives a connection without outstanding answers to the next one that waits. */
    #settle(connection: PooledConnection): void {
        const isInUse = this.#lent.has(connection) || this.#options.isKept(connection);
        if (isInUse || connection.isClosed || this.#idle.includes(connection)) {
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

    /** Time until those before have had a connection, each for an average order. */
    #expectedWaitMs({ priority }: ConnectionNeed): number {
        return this.#waiting.countAhead(priority) * this.#options.averageMs() / this.#options.limit();
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
        this.#options.events.demandChanged();
    }

    /** Prefers a connection with the session's values, which saves a reset. */
    #takeIdle(need: ConnectionNeed): PooledConnection | undefined {
        const fitting = this.#idle.findLastIndex(connection => connection.hasValues(need.values));
        const [connection] = this.#idle.splice(fitting < 0 ? this.#idle.length - 1 : fitting, 1);
        if (connection !== undefined) {
            this.#idleSince.delete(connection);
            this.lend(connection);
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
        this.#options.events.closed(connection, reason);
        this.#serve();
    }

    #refuse(waiting: readonly Waiting[]): void {
        for (const { granted } of waiting) {
            granted(undefined);
        }
    }

    #scheduleExpiry(): void {
        clearTimeout(this.#expiryTimer);
        this.#standing.update(this.#waiting.size, this.#options.clock.now());
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
