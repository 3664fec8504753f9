// Weight of one observation in the average of a key.
const AVERAGE_WEIGHT = 1 / 16;

// The high estimate rises by this share when exceeded and sinks 99 times slower: it settles at the 99th percentile.
const HIGH_STEP = 0.1;
const HIGH_QUANTILE = 0.99;

// Keys come from the configuration; this only bounds a misuse.
const MAX_KEYS = 4_096;

interface Estimate {
    readonly averageMs: number;
    readonly highMs: number;
}

/** Service times to expect by key, from those observed. */
export class ServiceTimes {
    readonly #first: Estimate;
    readonly #estimates = new Map<string, Estimate>();

    constructor(firstMs: number) {
        this.#first = { averageMs: firstMs, highMs: firstMs };
    }

    expected(key: string): number {
        return (this.#estimates.get(key) ?? this.#first).averageMs;
    }

    /** A time that about 1 in 100 exceeds. */
    high(key: string): number {
        return (this.#estimates.get(key) ?? this.#first).highMs;
    }

    observe(key: string, serviceMs: number): void {
        const former = this.#estimates.get(key);
        if (former === undefined) {
            if (this.#estimates.size < MAX_KEYS) {
                this.#estimates.set(key, { averageMs: serviceMs, highMs: serviceMs });
            }
            return;
        }
        const averageMs = former.averageMs + (serviceMs - former.averageMs) * AVERAGE_WEIGHT;
        const step = serviceMs > former.highMs ? HIGH_STEP * HIGH_QUANTILE : -HIGH_STEP * (1 - HIGH_QUANTILE);
        this.#estimates.set(key, { averageMs, highMs: Math.max(averageMs, former.highMs * Math.exp(step)) });
    }
}
