import type { Clock } from "@medlarledge/runtime";

/** A larger deviation between the clocks is a suspension or a clock change, a smaller one is imprecision. */
const TOLERANCE_MS = 20;

/**
 * A clock for the age of data. The steady clock stops while the machine is suspended, and the time of day can be set.
 * This clock follows the steady clock and adds whatever the time of day gains on it, so that neither makes an age too
 * small.
 */
export class ElapsedClock {
    readonly #clock: Clock;
    /** Time of day minus steady time, as of the last reading. */
    #difference: number;
    #added = 0;

    constructor(clock: Clock) {
        this.#clock = clock;
        this.#difference = clock.wallClock() - clock.now();
    }

    /** Milliseconds; never decreases. */
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
