import { FromEndpoint } from "./message-type.js";
import { plainPositionOf, reading, readingOf } from "./messages.js";
import type { PositionAnswer } from "./messages.js";
import type { ConnectionOwner, PoolConnection } from "./pool-connection.js";
import type { ConnectionWaiter, Pool } from "./pool.js";
import type { Frame } from "./ports.js";

/** The result of one position query; `answer` is undefined when it failed. */
export type ReadingDone = (answer: PositionAnswer | undefined, sentAt: number) => void;

/** Asks one endpoint for its position over a pooled connection, outside any caller's request. */
export class PositionReading implements ConnectionWaiter, ConnectionOwner {
    readonly #query: Uint8Array;
    readonly #clock: () => number;
    readonly #beforeSend: () => void;
    readonly #done: ReadingDone;
    #connection: PoolConnection | undefined;
    #pool: Pool | undefined;
    #answer: PositionAnswer | undefined;
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
            this.#answer = this.#query === reading ? readingOf(frame.bytes) : plainPositionOf(frame.bytes);
        }
        else if (frame.type === FromEndpoint.ReadyForQuery) {
            const connection = this.#connection;
            this.#connection = undefined;
            if (connection !== undefined) {
                this.#pool?.answered(this.#clock() - this.#sentAt);
                this.#pool?.release(connection);
            }
            this.#finish(this.#answer);
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

    #finish(answer: PositionAnswer | undefined): void {
        if (!this.#finished) {
            this.#finished = true;
            this.#done(answer, this.#sentAt);
        }
    }
}
