import type { CallerConnection } from "./ports.js";

/** Decides when nothing more is read from a caller. */
export class CallerFlow {
    readonly #caller: CallerConnection;
    /** The caller does not take its answers. */
    callerFull = false;
    /** The endpoint does not take the caller's messages. */
    endpointFull = false;
    #paused = false;

    constructor(caller: CallerConnection) {
        this.#caller = caller;
    }

    update(queueFull: boolean): void {
        const pause = this.endpointFull || this.callerFull || queueFull;
        if (pause === this.#paused) {
            return;
        }
        this.#paused = pause;
        if (pause) {
            this.#caller.pause();
        }
        else {
            this.#caller.resume();
        }
    }
}
