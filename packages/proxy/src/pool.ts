import type { Endpoint } from "@medlarledge/protocol";
import { TransactionStatus } from "./message-type.js";
import { discardAll, rollback } from "./messages.js";
import { PoolConnection } from "./pool-connection.js";
import { PoolOpener } from "./pool-opener.js";
import { AnswerDiscarder } from "./pool-owners.js";
import { PoolQueue } from "./pool-queue.js";
import type { Admission, EndpointConnection, EndpointConnector, Schedule } from "./ports.js";

/** Something that waits for a connection. */
export interface ConnectionWaiter {
    granted(connection: PoolConnection, pool: Pool): void;
    refused(reason: PoolRefusal): void;
}

/**
 * A request that waits for admission and a connection. It gets one of `granted` and `refused`, unless it calls
 * `Pool.finished` before.
 */
export interface PoolWaiter extends ConnectionWaiter {
    readonly worth: number;
    readonly deadlineAt: number;
    readonly costKey: string;
    /** It got its connection. */
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
    readonly onSlotsWanted: (wanted: number) => void;
}

const WARM_CONNECTIONS = 2;
/** Time to finish an answer that nobody waits for; a new connection costs about 12 ms, so longer does not pay. */
const DISCARD_MS = 200;
/** A cancelled connection counts against the limit until the endpoint answered the cancel request, at most this long. */
const CANCEL_MS = 2_000;

/** The connections to one endpoint. */
export class Pool {
    readonly endpoint: Endpoint;
    readonly #options: PoolOptions;
    readonly #all = new Set<PoolConnection>();
    readonly #idle: PoolConnection[] = [];
    readonly #readings: ConnectionWaiter[] = [];
    readonly #queue: PoolQueue;
    readonly #opener: PoolOpener;
    #closing = 0;
    #leaving = false;
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
                if (this.#all.size === 0) {
                    this.#refuseAll("unreachable");
                }
            },
            retry: () => {
                this.#refill();
            },
        });
        this.#queue = new PoolQueue({
            admission: options.admission,
            clock: options.clock,
            schedule: options.schedule,
            wanted: options.onSlotsWanted,
            admitted: () => {
                this.#serve();
            },
        });
        this.updateSlots();
    }

    /** The share or the granted slots changed. */
    updateSlots(): void {
        this.#queue.setGranted(Math.min(this.#options.slots(), this.#options.limit()));
        while (this.size() > this.#options.limit() && this.#idle[0] !== undefined) {
            this.#drop(this.#idle[0]);
        }
    }

    /** Connections that count against the limit. */
    size(): number {
        return this.#all.size + this.#opener.opening + this.#closing;
    }

    /** Requests that run or wait here. */
    inFlight(): number {
        return this.#all.size - this.#idle.length + this.#queue.waiting;
    }

    idle(): number {
        return this.#idle.length;
    }

    lastAnswerAt(): number {
        return this.#lastAnswerAt;
    }

    get leaving(): boolean {
        return this.#leaving;
    }

    /** Opens the warm minimum in the background. */
    warm(): void {
        while (this.#open()) {
            // One attempt each, until the minimum is reached.
        }
    }

    acquire(waiter: PoolWaiter): void {
        if (this.#ready(waiter)) {
            this.#queue.offer(waiter);
        }
    }

    /** Like `acquire`, ahead of all requests. */
    acquireForReading(waiter: ConnectionWaiter): void {
        if (!this.#ready(waiter)) {
            return;
        }
        this.#readings.push(waiter);
        this.#serve();
    }

    /** The request ended, or gives up waiting. `ok` false: it was cut, so its time says nothing. */
    finished(waiter: PoolWaiter, ok: boolean): void {
        this.#queue.finished(waiter, ok);
    }

    /** Takes a connection back. It is used again only when nothing is outstanding on it. */
    release(connection: PoolConnection): void {
        connection.disown();
        connection.wire.resume();
        if (!connection.clean) {
            this.#drop(connection);
            return;
        }
        if (connection.dirty) {
            this.#reset(connection);
            return;
        }
        this.#offer(connection);
    }

    /** Takes back a connection whose remaining answers nobody waits for; `undo` rolls back its transaction. */
    discard(connection: PoolConnection, undo: boolean, limitMs = DISCARD_MS): void {
        connection.wire.resume();
        const cancel = this.#options.schedule(limitMs, () => {
            this.cancelAndClose(connection);
        });
        const finish = (): void => {
            if (undo && connection.status !== TransactionStatus.Idle) {
                this.#await(connection, rollback, () => {
                    cancel();
                    this.release(connection);
                }, cancel);
                return;
            }
            cancel();
            this.release(connection);
        };
        if (connection.outstanding === 0) {
            finish();
            return;
        }
        this.#await(connection, undefined, finish, cancel);
    }

    /** Stops the statement that runs on the connection and closes it; it is never used again. */
    cancelAndClose(connection: PoolConnection): void {
        if (!this.#all.has(connection)) {
            return;
        }
        this.#closing += 1;
        let settled = false;
        const settle = (): void => {
            if (!settled) {
                settled = true;
                stop();
                this.#closing -= 1;
                this.#refill();
            }
        };
        const stop = this.#options.schedule(CANCEL_MS, settle);
        const { processId, secretKey } = connection.wire;
        this.#options.connector.cancel(this.endpoint, processId, secretKey).then(settle, settle);
        this.#drop(connection);
    }

    answered(latencyMs: number): void {
        this.#options.onAnswered(latencyMs);
    }

    /** The endpoint leaves: no new work; connections close when they become idle. */
    leave(): void {
        this.#leaving = true;
        for (const connection of this.#idle.splice(0)) {
            this.#drop(connection);
        }
        this.#refuseAll("leaving");
    }

    /** Closes everything at once. */
    close(): void {
        this.leave();
        for (const connection of [...this.#all]) {
            this.#drop(connection);
        }
        this.#opener.stop();
        this.#queue.stop();
    }

    #ready(waiter: ConnectionWaiter): boolean {
        if (this.#leaving) {
            waiter.refused("leaving");
            return false;
        }
        if (this.#options.limit() < 1) {
            waiter.refused("noShare");
            return false;
        }
        return true;
    }

    #offer(connection: PoolConnection): void {
        if (this.#leaving || this.size() > this.#options.limit()) {
            this.#drop(connection);
            return;
        }
        this.#idle.push(connection);
        this.#serve();
    }

    /** Gives idle connections to those that wait: readings first, since one of them serves many requests. */
    #serve(): void {
        while (this.#idle.length > 0) {
            const connection = this.#takeIdle();
            const next = connection === undefined ? undefined : this.#readings.shift() ?? this.#queue.take();
            if (connection === undefined) {
                break;
            }
            if (next === undefined) {
                this.#idle.push(connection);
                return;
            }
            next.granted(connection, this);
        }
        this.#open();
    }

    /** An idle connection that the endpoint has sent an error to is about to be closed by it. */
    #takeIdle(): PoolConnection | undefined {
        for (let connection = this.#idle.pop(); connection !== undefined; connection = this.#idle.pop()) {
            if (connection.clean) {
                return connection;
            }
            this.#drop(connection);
        }
        return undefined;
    }

    #reset(connection: PoolConnection): void {
        const cancel = this.#options.schedule(DISCARD_MS, () => {
            this.cancelAndClose(connection);
        });
        this.#await(connection, discardAll, failed => {
            cancel();
            connection.dirty = false;
            connection.unfit ||= failed;
            connection.statements.clear();
            this.release(connection);
        }, cancel);
    }

    /** Sends a query, if any, and waits until the connection has nothing outstanding. */
    #await(
        connection: PoolConnection,
        query: Uint8Array | undefined,
        done: (failed: boolean) => void,
        lost: () => void,
    ): void {
        connection.own(new AnswerDiscarder(() => connection.outstanding, done, lost));
        if (query !== undefined) {
            connection.send(query, 1);
        }
    }

    #drop(connection: PoolConnection): void {
        this.#all.delete(connection);
        const at = this.#idle.indexOf(connection);
        if (at >= 0) {
            this.#idle.splice(at, 1);
        }
        connection.close();
        this.#refill();
    }

    /** Replaces closed connections when requests wait or the warm minimum is not met. */
    #refill(): void {
        this.warm();
    }

    /** Opens one connection when one is wanted and allowed. */
    #open(): boolean {
        const waiting = this.#readings.length + this.#queue.admittedWaiting;
        const wanted = waiting > this.#opener.opening || this.size() < WARM_CONNECTIONS;
        if (this.#leaving || this.#opener.pausing || !wanted || this.size() >= this.#options.limit()) {
            return false;
        }
        this.#opener.open();
        return true;
    }

    #opened(wire: EndpointConnection): void {
        const connection = new PoolConnection(
            wire,
            () => {
                this.#lastAnswerAt = this.#options.clock();
            },
            (lost, reason) => {
                this.#lost(lost, reason);
            },
        );
        this.#all.add(connection);
        this.#lastAnswerAt = this.#options.clock();
        this.#offer(connection);
        this.#refill();
    }

    #lost(connection: PoolConnection, reason: string): void {
        if (!this.#all.has(connection)) {
            return;
        }
        this.#options.onClosed(reason);
        this.#drop(connection);
    }

    #refuseAll(reason: PoolRefusal): void {
        for (const reading of this.#readings.splice(0)) {
            reading.refused(reason);
        }
        this.#queue.refuseAll(waiter => {
            waiter.refused(reason);
        });
    }
}
