// An answer this many times slower than expected indicates congestion at the endpoint.
const SLOW_RATIO = 3;

// Consecutive answers after which the limit changes by one.
const SLOW_ANSWERS = 4;
const NORMAL_ANSWERS = 16;

/** Adaptive limit of concurrent statements on one endpoint: 1 up to the granted slots, lower while it is congested. */
export class ConcurrencyLimit {
    #granted = 0;
    #reduced = 0;
    #slow = 0;
    #normal = 0;

    get value(): number {
        return this.#granted === 0 ? 0 : Math.max(1, this.#granted - this.#reduced);
    }

    setGranted(slots: number): void {
        this.#granted = slots;
        this.#reduced = Math.min(this.#reduced, Math.max(0, slots - 1));
    }

    /** Adapts the limit to the service time of one answer. */
    observe(serviceMs: number, expectedMs: number): void {
        if (serviceMs > expectedMs * SLOW_RATIO) {
            this.#slow++;
            this.#normal = 0;
        }
        else {
            this.#normal++;
            this.#slow = 0;
        }
        if (this.#slow >= SLOW_ANSWERS && this.value > 1) {
            this.#reduced++;
            this.#slow = 0;
        }
        else if (this.#normal >= NORMAL_ANSWERS && this.#reduced > 0) {
            this.#reduced--;
            this.#normal = 0;
        }
    }
}
