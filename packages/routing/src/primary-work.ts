/** Half-life of the measured work: the mix of reads and writes changes within seconds. */
const HALF_LIFE_MS = 2_000;

/** The primary keeps at least this part of its share of reads, so that its load stays known. */
const MIN_READ_FACTOR = 0.05;

/** Measures the work of a group that only its primary can do, against the reads that every endpoint can serve. */
export class PrimaryWork {
    #primaryMs = 0;
    #readMs = 0;
    #at = 0;

    /** Records the duration of an order that ran. */
    ran(onlyOnPrimary: boolean, durationMs: number, now: number): void {
        this.#decay(now);
        if (onlyOnPrimary) {
            this.#primaryMs += durationMs;
        }
        else {
            this.#readMs += durationMs;
        }
    }

    /**
     * Factor on the primary's share of the reads that makes its slots as busy as those of the others, given the slots
     * of the primary and of the whole group.
     */
    readFactor(primarySlots: number, groupSlots: number): number {
        if (this.#primaryMs === 0 || groupSlots <= primarySlots || primarySlots <= 0) {
            return 1;
        }
        const others = (groupSlots - primarySlots) / primarySlots;
        return Math.max(MIN_READ_FACTOR, 1 - this.#primaryMs / Math.max(1, this.#readMs) * others);
    }

    #decay(now: number): void {
        const factor = 0.5 ** (Math.max(0, now - this.#at) / HALF_LIFE_MS);
        this.#primaryMs *= factor;
        this.#readMs *= factor;
        this.#at = now;
    }
}
