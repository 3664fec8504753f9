import type { CallerConnection } from "./ports.js";

/** Pauses reading from a caller while a buffer behind it is full. */
export class CallerFlowControl {
    readonly #caller: CallerConnection;
    /** The caller's socket buffer is full. */
    callerBufferFull = false;
    /** The endpoint's socket buffer is full. */
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
