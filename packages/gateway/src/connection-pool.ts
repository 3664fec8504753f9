import { type Claim, MAX_OPENINGS, needsOpening, SheddingLimit, StandingQueue, WaitQueue } from "@medlarledge/routing";
import { StallTolerantTimer } from "@medlarledge/runtime";
import { type ConnectionPoolOptions, type ConnectionRequest, OpeningCause } from "./connection-pool-options.js";
import { type ConnectionOwner, IdleConnections } from "./idle-connections.js";
import { type ConnectionEvents, PooledConnection } from "./pooled-connection.js";
import { type OwnedWaiter, WaitingOwners } from "./waiting-owners.js";

/** Limit for opening a connection. An endpoint with a free slot takes 12 ms, a busy one takes longer. */
const CONNECT_TIMEOUT_MS = 500;

/** Delay between a failed attempt to connect and the next one. */
const RECONNECT_DELAY_MS = 100;

/** A connection that is idle for longer is closed. Opening one again takes 12 ms, and a slot for that time. */
const MAX_IDLE_MS = 3_000;

/**
 * The same for a customer's connection, which serves only this customer. Nobody else may use its place in this process's
 * share unless an order needs it, and then it is closed at once. Endpoints close connections that are idle for 60 s.
 */
const MAX_CUSTOMER_IDLE_MS = 45_000;

/**
 * After the endpoint's refusal for too many connections, the pool does not grow for this time. Endpoints keep the
 * connections of a process that fell silent for 3 s.
 */
const FULL_ENDPOINT_MS = 3_000;

/** Limit for the answers that are outstanding when a connection is released. Ending a transaction needs no slot. */
const RETURN_TIMEOUT_MS = 500;

/**
 * Maximum number of connections with an overdue answer that do not count against the limit, so that others can be
 * opened in their place. Endpoints accept a few connections beyond the sum of all shares and refuse any above that.
 */
const MAX_REPLACED_CONNECTIONS = 2;

interface Waiter extends OwnedWaiter {
    readonly request: ConnectionRequest;
    readonly granted: (connection: PooledConnection | undefined) => void;
}

/** Pool of the connections of one process to one endpoint. Waiting orders get connections by priority. */
export class ConnectionPool {
    readonly #options: ConnectionPoolOptions;
    readonly #connections = new Set<PooledConnection>();
    readonly #idle = new IdleConnections();
    /** Connections in use, with the time at which the use began. */
    readonly #inUseSince = new Map<PooledConnection, number>();
    readonly #waiting = new WaitQueue<Waiter>();
    readonly #waitingOwners = new WaitingOwners<Waiter>();
    readonly #openingByOwner = new Map<ConnectionOwner, number>();
    readonly #standingQueue = new StandingQueue();
    readonly #sheddingLimit = new SheddingLimit();
    readonly #connectionEvents: ConnectionEvents;
    #openingCount = 0;
    /** Whether orders of customers have come, so that connections have different owners. */
    #hasCustomers = false;
    #isReplacing = false;
    /** Limit while the endpoint has no room for more connections. */
    #fullLimit = { size: 0, until: Number.NEGATIVE_INFINITY };
    #connectNotBefore = 0;
    #expiryTimer: NodeJS.Timeout | undefined;
    #isClosed = false;

    constructor(options: ConnectionPoolOptions) {
        this.#options = options;
        this.#connectionEvents = {
            answered: () => options.events.answered(),
            idle: connection => this.#returnToIdle(connection),
            closed: (connection, reason) => this.#connectionClosed(connection, reason),
        };
    }

    /** Number of connections that are open or being opened. */
    get size(): number {
        return this.#connections.size + this.#openingCount;
    }

    /** Number of idle connections. */
    get idle(): number {
        return this.#idle.size;
    }

    /** Number of orders that wait for a connection. */
    get waiting(): number {
        return this.#waiting.size;
    }

    /** True while no connection is open. */
    get isEmpty(): boolean {
        return this.#connections.size === 0;
    }

    /** True while orders wait and no connection may be opened for them, nor in place of another customer's. */
    get isExhausted(): boolean {
        return this.#waiting.size > this.#openingCount && this.#countedSize >= this.#options.limit()
            && !(this.#hasCustomers && this.#idle.size > 0);
    }

    /** Number of connections that count against the limit. */
    get #countedSize(): number {
        // Holders of customers' connections have many, so that a few overdue ones leave enough.
        return this.#hasCustomers ? this.size : this.size - Math.min(MAX_REPLACED_CONNECTIONS, this.#overdueCount);
    }

    get #overdueCount(): number {
        const overdueSince = this.#options.clock.now() - this.#options.overdueMs();
        return [...this.#inUseSince.values()].filter(since => since < overdueSince).length;
    }

    /** Number of orders that the endpoint is running or has in its queue; the answers of overdue ones may be lost. */
    get #running(): number {
        return this.#inUseSince.size - this.#overdueCount;
    }

    /** Number of orders that may run at the same time. */
    get #concurrency(): number {
        return this.#sheddingLimit.value(Math.max(1, this.#options.limit()));
    }

    /** Returns a connection; undefined when none becomes free in time, or at once when none is expected to. */
    acquire(request: ConnectionRequest): Promise<PooledConnection | undefined> {
        if (this.#mayGrantAtOnce(request)) {
            return Promise.resolve(this.#takeIdle(request));
        }
        return new Promise(resolve => {
            const now = this.#options.clock.now();
            this.#hasCustomers ||= request.customer !== undefined;
            const patienceMs = this.#standingQueue.patienceMs(request, now);
            const isHopeless = this.#isClosed || this.#options.limit() < 1
                || this.#expectedWaitMs(request, now) > patienceMs;
            if (isHopeless) {
                resolve(undefined);
                return;
            }
            const { priority, customer } = request;
            const waiter: Waiter = { request, priority, owner: customer, granted: resolve };
            this.#waiting.push({ ...this.#claimOf(request, now), item: waiter, giveUpAt: now + patienceMs });
            this.#waitingOwners.add(waiter);
            this.#serveWaiters();
        });
    }

    /** Returns true when no order waits and a connection for this one is idle. */
    #mayGrantAtOnce({ customer, isProbe }: ConnectionRequest): boolean {
        return this.#waiting.size === 0 && !this.#isClosed && this.#options.limit() >= 1
            && (isProbe === true ? this.#idle.size > 0 : this.#idle.isOwned(customer))
            && this.#running < this.#concurrency;
    }

    /** Refuses the waiting orders of a session whose caller has left. Returns false when none waits. */
    cancel(session: string): boolean {
        const cancelled = this.#waiting.remove(({ request }) => request.session === session);
        this.#refuseWaiters(cancelled);
        return cancelled.length > 0;
    }

    /** Records that the endpoint rejected an order because its queue is full. */
    orderRejected(): void {
        this.#sheddingLimit.rejected(this.#running, this.#options.clock.now());
    }

    /** Records that the endpoint ran an order. */
    orderAnswered(): void {
        this.#sheddingLimit.answered();
    }

    /** Records that a statement runs on the connection from now on. */
    markInUse(connection: PooledConnection): void {
        this.#inUseSince.set(connection, this.#options.clock.now());
    }

    /** Ends the use of a connection. It becomes idle once no answers are outstanding on it. */
    release(connection: PooledConnection): void {
        this.#inUseSince.delete(connection);
        if (connection.unanswered === 0) {
            this.#returnToIdle(connection);
        }
        else {
            this.#closeIfUnanswered(connection);
        }
        this.#serveWaiters();
    }

    /** Rolls back the transaction on a connection that is not in use any more. */
    rollBack(connection: PooledConnection): void {
        void connection.sendCommands([{ kind: "rollback" }], 0);
        this.#closeIfUnanswered(connection);
    }

    /**
     * Closes idle connections beyond the limit, and those that have been idle for long down to `count`: other processes
     * may need their slots.
     */
    closeIdle(count: number): void {
        const { clock, limit } = this.#options;
        const maxSize = limit();
        for (const [connection, idleSince] of this.#idle.entries()) {
            const maxIdleMs = connection.owner === undefined ? MAX_IDLE_MS : MAX_CUSTOMER_IDLE_MS;
            if (this.size > maxSize) {
                connection.close("beyond the limit of connections");
            }
            else if (this.size > count && clock.now() - idleSince > maxIdleMs) {
                connection.close("idle for too long");
            }
        }
    }

    /** If orders wait, opens connections in place of those whose answers are overdue. */
    replaceOverdue(): void {
        if (this.#waiting.size > 0) {
            this.#serveWaiters();
        }
    }

    /** Opens connections until `count` are open or being opened. */
    warmUp(count: number): void {
        while (this.size < Math.min(count, this.#options.limit()) && this.#mayOpen()) {
            void this.#open(undefined, OpeningCause.WarmUp);
        }
    }

    /** Refuses all further requests. Connections that are in use stay open until they are released. */
    close(): void {
        this.#isClosed = true;
        clearTimeout(this.#expiryTimer);
        this.#refuseWaiters(this.#waiting.clear());
        for (const [connection] of this.#idle.entries()) {
            connection.close("the pool is closed");
        }
    }

    /**
     * Closes a connection whose outstanding answers do not arrive; otherwise it would count against the limit for ever.
     */
    #closeIfUnanswered(connection: PooledConnection): void {
        new StallTolerantTimer(RETURN_TIMEOUT_MS, this.#options.clock.now, () => {
            if (connection.unanswered > 0 && !this.#inUseSince.has(connection)) {
                connection.close("outstanding answers did not arrive after the connection was released");
            }
        });
    }

    /** Makes a connection without outstanding answers idle, so that the next waiting order gets it. */
    #returnToIdle(connection: PooledConnection): void {
        const isInUse = this.#inUseSince.has(connection) || this.#options.isReserved(connection);
        if (isInUse || connection.isClosed || this.#idle.has(connection)) {
            return;
        }
        if (!connection.isClean || this.#isClosed || this.#countedSize > this.#options.limit()) {
            connection.close("not reusable or beyond the limit of connections");
            return;
        }
        this.#idle.add(connection, this.#options.clock.now());
        this.#serveWaiters();
    }

    /**
     * Time until the requests ahead have been served, if each order takes the average time. Until the endpoint has as
     * many orders as it may, a customer's orders wait only for those of the same customer.
     */
    #expectedWaitMs(request: ConnectionRequest, now: number): number {
        const { customer } = request;
        const ahead = customer !== undefined && this.#running < this.#concurrency
            ? this.#waitingOwners.count(customer)
            : this.#waiting.countAhead(this.#claimOf(request, now));
        return ahead * this.#options.averageMs() / this.#concurrency;
    }

    #claimOf({ priority, customer, weight, targetMs }: ConnectionRequest, now: number): Claim {
        const dueAt = targetMs === undefined ? undefined : now + targetMs;
        return { priority, customer, weight, dueAt, workMs: this.#options.averageMs() };
    }

    #serveWaiters(): void {
        while (this.#idle.size > 0 && this.#running < this.#concurrency) {
            const next = this.#waiting.take(
                ({ request }) => request.isProbe === true || this.#idle.isOwned(request.customer),
                this.#options.clock.now(),
            );
            if (next === undefined) {
                break;
            }
            this.#waitingOwners.delete(next);
            next.granted(this.#takeIdle(next.request));
        }
        this.#openForWaiters();
        this.#scheduleExpiry();
        this.#options.events.demandChanged();
    }

    #takeIdle({ isProbe, customer, values }: ConnectionRequest): PooledConnection | undefined {
        const connection = isProbe === true
            ? this.#idle.takeAny()
            : this.#idle.take(customer, values, this.#options.clock.now());
        if (connection !== undefined) {
            this.markInUse(connection);
        }
        return connection;
    }

    /** Opens connections for waiting orders, at the limit in place of the idle connections of least value. */
    #openForWaiters(): void {
        while (this.#mayOpen() && this.#mayRunMore()) {
            const next = this.#waitingOwners.next((owner, waiting) => this.#needsOpening(owner, waiting));
            const cause = next === undefined ? undefined : this.#makeRoom(next.owner);
            if (next === undefined || cause === undefined) {
                return;
            }
            void this.#open(next.owner, cause);
            if (!this.#hasCustomers) {
                return;
            }
        }
    }

    /** Returns false while another customer's connection would run no order sooner. */
    #mayRunMore(): boolean {
        return !this.#hasCustomers || (this.#openingCount < MAX_OPENINGS && this.#running < this.#concurrency);
    }

    /**
     * Closes another customer's idle connection where necessary for opening one. Returns undefined if there is no room.
     * Customers with no more connections than the one who needs another keep those that they use, so that a customer
     * with a long queue cannot take all.
     */
    #makeRoom(owner: ConnectionOwner): OpeningCause | undefined {
        const { clock, limit: share } = this.#options;
        const { size, until } = this.#fullLimit;
        const limit = this.#hasCustomers && clock.now() < until ? Math.min(size, share()) : share();
        let cause: OpeningCause = OpeningCause.Growth;
        if (this.#hasCustomers && limit > 0 && this.#countedSize === limit) {
            cause = OpeningCause.Replacement;
            const count = this.#usableBy(owner).length + (this.#openingByOwner.get(owner) ?? 0);
            const isProtected = (other: ConnectionOwner): boolean => this.#countOf(other) <= count;
            this.#isReplacing = true;
            this.#idle.leastValuable(this.#options.clock.now(), isProtected)
                ?.close("replaced by a connection of another customer");
            this.#isReplacing = false;
        }
        return this.#countedSize < limit ? cause : undefined;
    }

    #countOf(owner: ConnectionOwner): number {
        const open = [...this.#connections].filter(connection => connection.owner === owner).length;
        return open + (this.#openingByOwner.get(owner) ?? 0);
    }

    #needsOpening(owner: ConnectionOwner, waiting: number): boolean {
        const opening = this.#openingByOwner.get(owner) ?? 0;
        if (!this.#hasCustomers) {
            return waiting > opening;
        }
        return needsOpening({ waiting, inUse: this.#usableBy(owner).length, opening }, this.#options.averageMs());
    }

    /** The owner's connections in use that are neither overdue nor reserved for a transaction, so that they free soon. */
    #usableBy(owner: ConnectionOwner): readonly PooledConnection[] {
        const { clock, overdueMs, isReserved } = this.#options;
        const overdueSince = clock.now() - overdueMs();
        return [...this.#inUseSince].flatMap(([connection, since]) =>
            connection.owner === owner && since >= overdueSince && !isReserved(connection) ? [connection] : []
        );
    }

    #mayOpen(): boolean {
        return !this.#isClosed && !this.#isReplacing && this.#options.clock.now() >= this.#connectNotBefore;
    }

    async #open(owner: ConnectionOwner, cause: OpeningCause): Promise<void> {
        const { connector, address, clock, events } = this.#options;
        this.#openingCount += 1;
        this.#openingByOwner.set(owner, (this.#openingByOwner.get(owner) ?? 0) + 1);
        events.opening({ cause, owner: owner === undefined ? "proxy" : "customer" });
        const startedAt = clock.now();
        const connected = await connector.connect(address, owner, CONNECT_TIMEOUT_MS);
        this.#openingCount -= 1;
        this.#openingByOwner.set(owner, (this.#openingByOwner.get(owner) ?? 1) - 1);
        if (!connected.ok) {
            this.#connectNotBefore = clock.now() + RECONNECT_DELAY_MS;
            if (connected.failure.kind === "tooMany") {
                this.#fullLimit = { size: Math.max(1, this.size), until: clock.now() + FULL_ENDPOINT_MS };
            }
            events.connectFailed(connected.failure, startedAt);
            this.#openFailed();
            return;
        }
        const connection = new PooledConnection(connected.connection, owner, this.#connectionEvents);
        this.#connections.add(connection);
        events.connected();
        this.#returnToIdle(connection);
    }

    /** Without any connection, waiting orders are refused at once, so that they can run on another endpoint or host. */
    #openFailed(): void {
        if (this.#connections.size === 0 && this.#openingCount === 0) {
            this.#refuseWaiters(this.#waiting.clear());
        }
    }

    #connectionClosed(connection: PooledConnection, reason: string): void {
        this.#connections.delete(connection);
        this.#idle.remove(connection);
        this.#options.events.closed(connection, reason);
        this.#serveWaiters();
    }

    #refuseWaiters(waiting: readonly Waiter[]): void {
        for (const waiter of waiting) {
            this.#waitingOwners.delete(waiter);
            waiter.granted(undefined);
        }
    }

    #scheduleExpiry(): void {
        clearTimeout(this.#expiryTimer);
        this.#standingQueue.update(this.#waiting.size, this.#options.clock.now());
        const next = this.#waiting.nextExpiry();
        if (next !== undefined) {
            const delay = Math.max(1, next - this.#options.clock.now());
            this.#expiryTimer = setTimeout(() => {
                this.#refuseWaiters(this.#waiting.expired(this.#options.clock.now()));
                this.#serveWaiters();
            }, delay);
        }
    }
}
