/** A timer that fires more than this after its due time indicates a stall of this process, not a slow peer. */
const STALL_THRESHOLD_MS = 40;

/** Extra delay after a stall, in which the data that arrived during the stall is read. */
const CATCH_UP_MS = 30;

/**
 * A one-shot timer for time-outs that calls back after `delayMs` unless cancelled. After a stall of this process it
 * waits a little longer, so that replies that have already arrived are read before the time-out is reported.
 */
export class StallTolerantTimer {
    readonly #now: () => number;
    readonly #callback: () => void;
    #timer: NodeJS.Timeout;

    constructor(delayMs: number, now: () => number, callback: () => void) {
        this.#now = now;
        this.#callback = callback;
        this.#timer = this.#start(delayMs);
    }

    cancel(): void {
        clearTimeout(this.#timer);
    }

    #start(delayMs: number): NodeJS.Timeout {
        const dueAt = this.#now() + delayMs;
        return setTimeout(() => {
            if (this.#now() - dueAt > STALL_THRESHOLD_MS) {
                this.#timer = this.#start(CATCH_UP_MS);
            }
            else {
                this.#callback();
            }
        }, delayMs);
    }
}
