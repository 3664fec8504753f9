/** Time assumed before the first answer, in ms; statements take 3 to 30 ms. */
const INITIAL_MS = 10;

/**
 * Quantile of the durations that counts as typical. Below the median it follows the speed of an endpoint rather than
 * its queue: shares that follow queues oscillate between endpoints when the information is older than a queue lasts.
 */
const QUANTILE = 0.15;

/** Maximum relative change by one answer; a slowdown by a factor of 3 is learned from about 20 answers. */
const STEP = 0.4;

/** Half-life with which the estimate returns to its initial value while no answers arrive. */
const HALF_LIFE_MS = 5_000;

/** Tracks a low quantile of the durations of orders at one endpoint. */
export class TypicalTime {
    #ms = INITIAL_MS;
    #at = 0;

    /** Time of the last answer; 0 before the first. */
    get answeredAt(): number {
        return this.#at;
    }

    answered(durationMs: number, now: number): void {
        const former = this.valueMs(now);
        this.#ms = Math.max(1, former * (durationMs > former ? 1 + STEP * QUANTILE : 1 - STEP * (1 - QUANTILE)));
        this.#at = now;
    }

    valueMs(now: number): number {
        const decay = 0.5 ** (Math.max(0, now - this.#at) / HALF_LIFE_MS);
        return INITIAL_MS + (this.#ms - INITIAL_MS) * decay;
    }
}
