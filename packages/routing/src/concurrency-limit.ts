// An answer this many times slower than expected indicates congestion at the endpoint.
const SLOW_RATIO = 3;

// Consecutive answers after which the limit changes by one.
const SLOW_ANSWERS = 4;
const NORMAL_ANSWERS = 16;

/** Adaptive limit of concurrent statements on one endpoint: 1 up to the granted slots, lower while it is congested. */
export class ConcurrencyLimit {
    #granted = 0;
    #reduction = 0;
    #consecutiveSlow = 0;
    #consecutiveNormal = 0;

    get value(): number {
        return this.#granted === 0 ? 0 : Math.max(1, this.#granted - this.#reduction);
    }

    setGranted(slots: number): void {
        this.#granted = slots;
        this.#reduction = Math.min(this.#reduction, Math.max(0, slots - 1));
    }

    /** Adapts the limit to the service time of one answer. */
    observe(serviceMs: number, expectedMs: number): void {
        if (serviceMs > expectedMs * SLOW_RATIO) {
            this.#consecutiveSlow++;
            this.#consecutiveNormal = 0;
        }
        else {
            this.#consecutiveNormal++;
            this.#consecutiveSlow = 0;
        }
        if (this.#consecutiveSlow >= SLOW_ANSWERS && this.value > 1) {
            this.#reduction++;
            this.#consecutiveSlow = 0;
        }
        else if (this.#consecutiveNormal >= NORMAL_ANSWERS && this.#reduction > 0) {
            this.#reduction--;
            this.#consecutiveNormal = 0;
        }
    }
}
