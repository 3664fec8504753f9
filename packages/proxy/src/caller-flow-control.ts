import type { CallerConnection } from "./ports.js";

/** Decides when nothing more is read from a caller. */
export class CallerFlowControl {
    readonly #caller: CallerConnection;
    /** The caller does not take its answers. */
    callerBufferFull = false;
    /** The endpoint does not take the caller's messages. */
    endpointBufferFull = false;
    #isPaused = false;

    constructor(caller: CallerConnection) {
        this.#caller = caller;
    }

    update(isQueueFull: boolean): void {
        const shouldPause = this.endpointBufferFull || this.callerBufferFull || isQueueFull;
        if (shouldPause === this.#isPaused) {
            return;
        }
        this.#isPaused = shouldPause;
        if (shouldPause) {
            this.#caller.pause();
        }
        else {
            this.#caller.resume();
        }
    }
}
