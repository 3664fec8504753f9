import type { Position } from "@medlarledge/protocol";
import { FromEndpoint } from "./message-type.js";
import { positionOf, timelineOf } from "./messages.js";
import type { ConnectionOwner, PoolConnection } from "./pool-connection.js";
import type { ConnectionWaiter, Pool } from "./pool.js";
import type { Frame } from "./ports.js";

/** The result of one position query; `position` is undefined when it failed. */
export type ReadingDone = (position: Position | undefined, sentAt: number, timeline: number | undefined) => void;

/** Asks one endpoint for its position over a pooled connection, outside any caller's request. */
export class PositionReading implements ConnectionWaiter, ConnectionOwner {
    readonly #query: Uint8Array;
    readonly #clock: () => number;
    readonly #beforeSend: () => void;
    readonly #done: ReadingDone;
    #connection: PoolConnection | undefined;
    #pool: Pool | undefined;
    #position: Position | undefined;
    #timeline: number | undefined;
    #sentAt = 0;
    #finished = false;

    constructor(query: Uint8Array, clock: () => number, beforeSend: () => void, done: ReadingDone) {
        this.#query = query;
        this.#clock = clock;
        this.#beforeSend = beforeSend;
        this.#done = done;
    }

    granted(connection: PoolConnection, pool: Pool): void {
        if (this.#finished) {
            pool.release(connection);
            return;
        }
        this.#connection = connection;
        this.#pool = pool;
        this.#sentAt = this.#clock();
        connection.own(this);
        this.#beforeSend();
        connection.send(this.#query, 1);
    }

    refused(): void {
        this.#finish(undefined);
    }

    frame(frame: Frame): void {
        if (frame.type === FromEndpoint.DataRow) {
            this.#position = positionOf(frame.bytes);
            this.#timeline = timelineOf(frame.bytes);
        }
        else if (frame.type === FromEndpoint.ReadyForQuery) {
            const connection = this.#connection;
            this.#connection = undefined;
            if (connection !== undefined) {
                this.#pool?.answered(this.#clock() - this.#sentAt);
                this.#pool?.release(connection);
            }
            this.#finish(this.#position);
        }
    }

    chunkEnd(): void {
        // One answer only; nothing is collected.
    }

    drained(): void {
        // The query is one small packet.
    }

    lost(): void {
        this.#connection = undefined;
        this.#finish(undefined);
    }

    /** Gives up: a connection that does not answer is cancelled and closed. */
    abandon(): void {
        const connection = this.#connection;
        this.#connection = undefined;
        if (connection !== undefined) {
            this.#pool?.cancelAndClose(connection);
        }
        this.#finish(undefined);
    }

    #finish(position: Position | undefined): void {
        if (!this.#finished) {
            this.#finished = true;
            this.#done(position, this.#sentAt, this.#timeline);
        }
    }
}
