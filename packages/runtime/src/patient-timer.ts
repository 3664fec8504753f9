/** A timer that fires this much later than due shows that this process stood still, not that a peer was slow. */
const LATE_MS = 40;

/** Time to read what arrived while this process stood still. */
const CATCH_UP_MS = 30;

/**
 * Calls back after `delayMs` unless cancelled. After a pause of this process it waits a little longer, so that answers
 * that have already arrived are read before their absence is concluded.
 */
export class PatientTimer {
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
            if (this.#now() - dueAt > LATE_MS) {
                this.#timer = this.#start(CATCH_UP_MS);
            }
            else {
                this.#callback();
            }
        }, delayMs);
    }
}
