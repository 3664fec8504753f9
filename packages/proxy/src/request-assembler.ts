import { FromCaller } from "./message-type.js";
import type { Frame } from "./ports.js";

/** Everything that a caller sent up to one Sync, or one simple Query or FunctionCall. */
export interface Request {
    readonly frames: Frame[];
    readonly simple: boolean;
    /** Set once bytes of it were sent before it was complete. */
    isStarted: boolean;
    readonly arrivedAt: number;
    bytes: number;
    /** False for a request that must start before its Sync arrived: it contained Flush or is large. */
    complete: boolean;
}

/** Groups a caller's messages into requests. */
export class RequestAssembler {
    readonly #maxBytes: number;
    #open: Request | undefined;
    #hasFlush = false;

    /** @param maxBytes size from which a request is started before its end has arrived. */
    constructor(maxBytes: number) {
        this.#maxBytes = maxBytes;
    }

    /** Messages of a request arrived whose Sync has not. */
    get partial(): boolean {
        return this.#open !== undefined;
    }

    /** Adds one message. Returns a request when this message is the one that lets it start. */
    push(frame: Frame, now: number): Request | undefined {
        switch (frame.type) {
            case FromCaller.Query:
            case FromCaller.FunctionCall:
                return this.#singleMessageRequest(frame, now);
            case FromCaller.CopyData:
            case FromCaller.CopyDone:
            case FromCaller.CopyFail:
                // A caller may still send these after the endpoint ended a COPY with an error; PostgreSQL drops them.
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
