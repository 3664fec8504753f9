import { FromEndpoint } from "./message-type.js";
import type { ConnectionOwner } from "./pool-connection.js";
import type { Frame } from "./ports.js";

/** Discards everything that a connection sends until it has no outstanding responses. */
export class ResponseDiscarder implements ConnectionOwner {
    readonly #outstandingResponses: () => number;
    readonly #onDone: (failed: boolean) => void;
    readonly #onLost: (reason: string) => void;
    #hasFailed = false;
    #isFinished = false;

    constructor(outstandingResponses: () => number, done: (failed: boolean) => void, lost: (reason: string) => void) {
        this.#outstandingResponses = outstandingResponses;
        this.#onDone = done;
        this.#onLost = lost;
    }

    frame(frame: Frame): void {
        if (frame.type === FromEndpoint.ErrorResponse) {
            this.#hasFailed = true;
        }
        else if (frame.type === FromEndpoint.ReadyForQuery && this.#outstandingResponses() <= 0 && !this.#isFinished) {
            this.#isFinished = true;
            this.#onDone(this.#hasFailed);
        }
    }

    chunkEnd(): void {
        // Nothing is buffered.
    }

    drained(): void {
        // Nothing is sent, so there is no back-pressure to release.
    }

    lost(reason: string): void {
        this.#isFinished = true;
        this.#onLost(reason);
    }
}
