import { FromEndpoint } from "./message-type.js";
import { endpointProbe, endpointProbeOf, positionQueryResultOf } from "./messages.js";
import type { PositionQueryResult } from "./messages.js";
import type { ConnectionOwner, PoolConnection } from "./pool-connection.js";
import type { ConnectionWaiter, Pool } from "./pool.js";
import type { Frame } from "./ports.js";

/** Receives the result of one position query; `result` is undefined when the query failed. */
export type PositionQueryCallback = (result: PositionQueryResult | undefined, sentAt: number) => void;

/** Queries the position of one endpoint over a pooled connection, outside any caller's request. */
export class PositionQuery implements ConnectionWaiter, ConnectionOwner {
    readonly #query: Uint8Array;
    readonly #clock: () => number;
    readonly #beforeSend: () => void;
    readonly #done: PositionQueryCallback;
    #connection: PoolConnection | undefined;
    #pool: Pool | undefined;
    #result: PositionQueryResult | undefined;
    #sentAt = 0;
    #isFinished = false;

    constructor(query: Uint8Array, clock: () => number, beforeSend: () => void, done: PositionQueryCallback) {
        this.#query = query;
        this.#clock = clock;
        this.#beforeSend = beforeSend;
        this.#done = done;
    }

    granted(connection: PoolConnection, pool: Pool): void {
        if (this.#isFinished) {
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
            this.#result = this.#query === endpointProbe
                ? endpointProbeOf(frame.bytes)
                : positionQueryResultOf(frame.bytes);
        }
        else if (frame.type === FromEndpoint.ReadyForQuery) {
            const connection = this.#connection;
            this.#connection = undefined;
            if (connection !== undefined) {
                this.#pool?.answered(this.#clock() - this.#sentAt);
                this.#pool?.release(connection);
            }
            this.#finish(this.#result);
        }
    }

    chunkEnd(): void {
        // The response is handled message by message; nothing is buffered.
    }

    drained(): void {
        // The query is one small packet, so back-pressure needs no handling.
    }

    lost(): void {
        this.#connection = undefined;
        this.#finish(undefined);
    }

    /** Ends the query without a result; its connection, if any, is cancelled and closed. */
    cancel(): void {
        const connection = this.#connection;
        this.#connection = undefined;
        if (connection !== undefined) {
            this.#pool?.cancelAndClose(connection);
        }
        this.#finish(undefined);
    }

    #finish(result: PositionQueryResult | undefined): void {
        if (!this.#isFinished) {
            this.#isFinished = true;
            this.#done(result, this.#sentAt);
        }
    }
}
