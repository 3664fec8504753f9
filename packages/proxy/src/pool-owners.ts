import { FromEndpoint } from "./message-type.js";
import type { ConnectionOwner } from "./pool-connection.js";
import type { Frame } from "./ports.js";

/** Waits until a connection has no answer outstanding and drops everything that it sends until then. */
export class AnswerDiscarder implements ConnectionOwner {
    readonly #outstanding: () => number;
    readonly #done: (failed: boolean) => void;
    readonly #lost: (reason: string) => void;
    #failed = false;
    #finished = false;

    constructor(outstanding: () => number, done: (failed: boolean) => void, lost: (reason: string) => void) {
        this.#outstanding = outstanding;
        this.#done = done;
        this.#lost = lost;
    }

    frame(frame: Frame): void {
        if (frame.type === FromEndpoint.ErrorResponse) {
            this.#failed = true;
        }
        else if (frame.type === FromEndpoint.ReadyForQuery && this.#outstanding() <= 0 && !this.#finished) {
            this.#finished = true;
            this.#done(this.#failed);
        }
    }

    chunkEnd(): void {
        // Nothing is kept.
    }

    drained(): void {
        // Nothing is sent.
    }

    lost(reason: string): void {
        this.#finished = true;
        this.#lost(reason);
    }
}
