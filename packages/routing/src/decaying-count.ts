/** Time in which the weight of a use falls to one half. The load of single callers changes within some 10 s. */
const HALF_LIFE_MS = 10_000;

/**
 * Number of uses weighted by their age: it ranks by recency and frequency at once (LRFU), so that a single recent use
 * outranks none but not many that are a little older.
 */
export class DecayingCount {
    #count = 0;
    #updatedAt = 0;

    add(now: number): void {
        this.#count = this.value(now) + 1;
        this.#updatedAt = now;
    }

    value(now: number): number {
        return this.#count * 2 ** ((this.#updatedAt - now) / HALF_LIFE_MS);
    }
}
