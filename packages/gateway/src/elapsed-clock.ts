import type { Clock } from "@medlarledge/runtime";

/** Difference between the clocks, in ms, that is taken for a suspension or a set clock and not for imprecision. */
const TOLERANCE_MS = 20;

/**
 * A clock for the age of data. The steady clock stands still while the machine is suspended, and the time of day may be
 * set. This one follows the steady clock and adds every lead that the time of day gains on it, so that an age is not
 * taken for too small because of either.
 */
export class ElapsedClock {
    readonly #clock: Clock;
    /** Time of day minus steady time, as last seen. */
    #difference: number;
    #added = 0;

    constructor(clock: Clock) {
        this.#clock = clock;
        this.#difference = clock.wallClock() - clock.now();
    }

    /** Milliseconds that never go back. */
    now(): number {
        const steady = this.#clock.now();
        const lead = this.#clock.wallClock() - steady - this.#difference;
        if (Math.abs(lead) > TOLERANCE_MS) {
            this.#difference += lead;
            this.#added += Math.max(0, lead);
        }
        return steady + this.#added;
    }
}
