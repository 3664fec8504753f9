// Weight of one observation in the average of a key.
const AVERAGE_WEIGHT = 1 / 16;

// Keys come from the configuration; this only bounds a misuse.
const MAX_KEYS = 4_096;

/** Expected service times by key, from those observed. */
export class ServiceTimes {
    readonly #firstMs: number;
    readonly #averages = new Map<string, number>();

    constructor(firstMs: number) {
        this.#firstMs = firstMs;
    }

    expected(key: string): number {
        return this.#averages.get(key) ?? this.#firstMs;
    }

    observe(key: string, serviceMs: number): void {
        const former = this.#averages.get(key);
        if (former === undefined && this.#averages.size >= MAX_KEYS) {
            return;
        }
        this.#averages.set(key, former === undefined ? serviceMs : former + (serviceMs - former) * AVERAGE_WEIGHT);
    }
}
