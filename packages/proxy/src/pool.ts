import type { Endpoint } from "@medlarledge/protocol";
import { DISCARD_TIMEOUT_MS, PoolCleaner } from "./pool-cleaner.js";
import { PoolCloser } from "./pool-closer.js";
import { PoolConnection } from "./pool-connection.js";
import { PoolOpener } from "./pool-opener.js";
import { PoolQueue } from "./pool-queue.js";
import type { Admission, EndpointConnection, EndpointConnector, Schedule } from "./ports.js";

/** Waits for a connection of a pool. */
export interface ConnectionWaiter {
    granted(connection: PoolConnection, pool: Pool): void;
    refused(reason: PoolRefusal): void;
}

/**
 * A request that waits for admission and a connection. It gets one call of `granted` or `refused`, unless it calls
 * `Pool.finished` first.
 */
export interface PoolWaiter extends ConnectionWaiter {
    readonly worth: number;
    readonly deadlineAt: number;
    readonly costKey: string;
    /** The request has its connection. */
    readonly running: boolean;
}

export type PoolRefusal = "noShare" | "queueFull" | "deadline" | "unreachable" | "leaving";

export interface PoolOptions {
    readonly endpoint: Endpoint;
    readonly connector: EndpointConnector;
    readonly admission: Admission;
    readonly slots: () => number;
    readonly clock: () => number;
    readonly schedule: Schedule;
    readonly limit: () => number;
    readonly onClosed: (reason: string) => void;
    readonly onAnswered: (latencyMs: number) => void;
    readonly onSlotsWanted: (wanted: number, running: number) => void;
}

const MIN_CONNECTIONS = 2;

/** The connections to one endpoint. */
export class Pool {
    readonly endpoint: Endpoint;
    readonly #options: PoolOptions;
    readonly #connections = new Set<PoolConnection>();
    readonly #idle: PoolConnection[] = [];
    readonly #positionQueries: ConnectionWaiter[] = [];
    readonly #queue: PoolQueue;
    readonly #opener: PoolOpener;
    readonly #closer: PoolCloser;
    readonly #cleaner: PoolCleaner;
    #isLeaving = false;
    #lastAnswerAt = 0;

    constructor(options: PoolOptions) {
        this.endpoint = options.endpoint;
        this.#options = options;
        this.#opener = new PoolOpener({
            endpoint: options.endpoint,
            connector: options.connector,
            schedule: options.schedule,
            opened: wire => {
                this.#opened(wire);
            },
            failed: reason => {
                options.onClosed(reason);
                if (this.#connections.size === 0) {
                    this.#refuseAll("unreachable");
                }
            },
            retry: () => {
                this.openMissing();
            },
        });
        this.#closer = new PoolCloser(options.connector, options.schedule, () => {
            this.openMissing();
        });
        this.#cleaner = new PoolCleaner(
            options.schedule,
            connection => {
                this.release(connection);
            },
            connection => {
                this.cancelAndClose(connection);
            },
        );
        this.#queue = new PoolQueue({
            admission: options.admission,
            clock: options.clock,
            schedule: options.schedule,
            wanted: options.onSlotsWanted,
            onAdmitted: () => {
                this.#assignIdle();
            },
        });
        this.updateSlots();
    }

    /** Applies a change of the connection share or of the granted slots. */
    updateSlots(): void {
        this.#queue.setGranted(Math.min(this.#options.slots(), this.#options.limit()));
        while (this.size() > this.#options.limit() && this.#idle[0] !== undefined) {
            this.#closeConnection(this.#idle[0]);
        }
    }

    /** Connections that count against the limit. */
    size(): number {
        return this.#connections.size + this.#opener.opening + this.#closer.closing;
    }

    /** Requests that run or wait here. */
    inFlight(): number {
        return this.#connections.size - this.#idle.length + this.#queue.waiting;
    }

    /** Open connections in use. */
    busy(): number {
        return this.#connections.size - this.#idle.length;
    }

    /** When the last request or query on any connection completed, or a connection opened. */
    lastAnswerAt(): number {
        return this.#lastAnswerAt;
    }

    idle(): number {
        return this.#idle.length;
    }

    /** Opens connections in the background while requests wait or fewer than the minimum are open. */
    openMissing(): void {
        while (this.#openOne()) {
            // Each call starts one connection attempt.
        }
    }

    acquire(waiter: PoolWaiter): void {
        if (this.#canAcquire(waiter)) {
            this.#queue.offer(waiter);
        }
    }

    /** Like `acquire`, but without admission and ahead of all requests. */
    acquireForPositionQuery(waiter: ConnectionWaiter): void {
        if (!this.#canAcquire(waiter)) {
            return;
        }
        this.#positionQueries.push(waiter);
        this.#assignIdle();
    }

    /** Ends a request that ran or waits. `ok` is false when it was aborted, so that its duration is not counted. */
    finished(waiter: PoolWaiter, ok: boolean): void {
        this.#queue.finished(waiter, ok);
    }

    /** Returns a connection to the pool; it is closed unless it is reusable. */
    release(connection: PoolConnection): void {
        connection.clearOwner();
        connection.wire.resume();
        if (!connection.isReusable) {
            this.#closeConnection(connection);
            return;
        }
        if (connection.hasSessionState) {
            this.#cleaner.reset(connection);
            return;
        }
        this.#addIdle(connection);
    }

    /**
     * Returns a connection whose remaining responses are to be discarded; `rollBack` also rolls back its transaction.
     */
    discard(connection: PoolConnection, rollBack: boolean, timeoutMs = DISCARD_TIMEOUT_MS): void {
        connection.wire.resume();
        this.#cleaner.discard(connection, rollBack, timeoutMs);
    }

    /** Cancels the statement that runs on the connection and closes the connection. */
    cancelAndClose(connection: PoolConnection): void {
        if (this.#connections.has(connection)) {
            this.#closer.cancel(connection);
            this.#closeConnection(connection);
        }
    }

    answered(latencyMs: number): void {
        this.#lastAnswerAt = this.#options.clock();
        this.#options.onAnswered(latencyMs);
    }

    /** Retires the pool of a leaving endpoint: refuses new requests and closes connections as they become idle. */
    leave(): void {
        this.#isLeaving = true;
        for (const connection of this.#idle.splice(0)) {
            this.#closeConnection(connection);
        }
        this.#refuseAll("leaving");
    }

    /** Closes all connections immediately. */
    close(): void {
        this.leave();
        for (const connection of [...this.#connections]) {
            this.#closeConnection(connection);
        }
        this.#opener.stop();
        this.#queue.stop();
    }

    #canAcquire(waiter: ConnectionWaiter): boolean {
        if (this.#isLeaving) {
            waiter.refused("leaving");
            return false;
        }
        if (this.#options.limit() < 1) {
            waiter.refused("noShare");
            return false;
        }
        return true;
    }

    #addIdle(connection: PoolConnection): void {
        if (this.#isLeaving || this.size() > this.#options.limit()) {
            this.#closeConnection(connection);
            return;
        }
        this.#idle.push(connection);
        this.#assignIdle();
    }

    /** Assigns idle connections to waiters: position queries first, since one of them serves many requests. */
    #assignIdle(): void {
        while (this.#idle.length > 0) {
            const connection = this.#takeIdle();
            const next = connection === undefined
                ? undefined
                : this.#positionQueries.shift() ?? this.#queue.nextAdmitted();
            if (connection === undefined) {
                break;
            }
            if (next === undefined) {
                this.#idle.push(connection);
                return;
            }
            next.granted(connection, this);
        }
        this.#openOne();
    }

    /**
     * Returns an idle connection. One that received an error while idle is about to be closed by the endpoint: skip it.
     */
    #takeIdle(): PoolConnection | undefined {
        for (let connection = this.#idle.pop(); connection !== undefined; connection = this.#idle.pop()) {
            if (connection.isReusable) {
                return connection;
            }
            this.#closeConnection(connection);
        }
        return undefined;
    }

    #closeConnection(connection: PoolConnection): void {
        this.#connections.delete(connection);
        const at = this.#idle.indexOf(connection);
        if (at >= 0) {
            this.#idle.splice(at, 1);
        }
        connection.close();
        this.openMissing();
    }

    /** Opens one connection if one is needed and the limit allows it. Returns whether it did. */
    #openOne(): boolean {
        const waiting = this.#positionQueries.length + this.#queue.admittedWaiting;
        const wanted = waiting > this.#opener.opening || this.size() < MIN_CONNECTIONS;
        if (this.#isLeaving || this.#opener.pausing || !wanted || this.size() >= this.#options.limit()) {
            return false;
        }
        this.#opener.open();
        return true;
    }

    #opened(wire: EndpointConnection): void {
        const connection = new PoolConnection(
            wire,
            (lost, reason) => {
                this.#lost(lost, reason);
            },
        );
        this.#connections.add(connection);
        this.#lastAnswerAt = this.#options.clock();
        this.#addIdle(connection);
        this.openMissing();
    }

    #lost(connection: PoolConnection, reason: string): void {
        if (!this.#connections.has(connection)) {
            return;
        }
        this.#options.onClosed(reason);
        this.#closeConnection(connection);
    }

    #refuseAll(reason: PoolRefusal): void {
        for (const positionQuery of this.#positionQueries.splice(0)) {
            positionQuery.refused(reason);
        }
        this.#queue.refuseAll(waiter => {
            waiter.refused(reason);
        });
    }
}
