import { FromCaller } from "./message-type.js";
import type { Frame } from "./ports.js";

/** The messages of a caller up to and including one Sync, or one simple Query or FunctionCall. */
export interface Request {
    readonly frames: Frame[];
    readonly simple: boolean;
    /** Set when part of the request is sent before it is complete. */
    isStarted: boolean;
    readonly arrivedAt: number;
    bytes: number;
    /** False until the Sync arrives. A request that contains Flush or is large starts before that. */
    complete: boolean;
}

/** Groups a caller's messages into requests. */
export class RequestAssembler {
    readonly #maxBytes: number;
    #open: Request | undefined;
    #hasFlush = false;

    /** @param maxBytes size above which a request starts before its Sync has arrived. */
    constructor(maxBytes: number) {
        this.#maxBytes = maxBytes;
    }

    /** A request has begun to arrive and its Sync is still missing. */
    get partial(): boolean {
        return this.#open !== undefined;
    }

    /** Adds one message. Returns its request when this message allows the request to start. */
    push(frame: Frame, now: number): Request | undefined {
        switch (frame.type) {
            case FromCaller.Query:
            case FromCaller.FunctionCall:
                return this.#singleMessageRequest(frame, now);
            case FromCaller.CopyData:
            case FromCaller.CopyDone:
            case FromCaller.CopyFail:
                // A caller may still send these after the endpoint ended a COPY with an error; PostgreSQL ignores them.
                return undefined;
            default:
                return this.#append(frame, now);
        }
    }

    #singleMessageRequest(frame: Frame, now: number): Request {
        return {
            frames: [frame],
            simple: true,
            isStarted: false,
            arrivedAt: now,
            bytes: frame.bytes.length,
            complete: true,
        };
    }

    #append(frame: Frame, now: number): Request | undefined {
        const isNew = this.#open === undefined;
        const request = this.#open
            ?? { frames: [], simple: false, isStarted: false, arrivedAt: now, bytes: 0, complete: false };
        const wasStarted = !isNew && this.#mustStart(request);
        request.frames.push(frame);
        request.bytes += frame.bytes.length;
        this.#open = request;
        if (frame.type === FromCaller.Sync) {
            request.complete = true;
            this.#open = undefined;
            this.#hasFlush = false;
            return wasStarted ? undefined : request;
        }
        if (frame.type === FromCaller.Flush) {
            this.#hasFlush = true;
        }
        return !wasStarted && this.#mustStart(request) ? request : undefined;
    }

    #mustStart(request: Request): boolean {
        return request.bytes > this.#maxBytes || this.#hasFlush;
    }
}
