// Weight of one observation in the average of a key.
const AVERAGE_WEIGHT = 1 / 16;

// The estimate rises by this share when exceeded and falls 99 times slower, so it converges to the 99th percentile.
const P99_STEP = 0.1;
const QUANTILE = 0.99;

// Keys come from the configuration; this only bounds memory under misuse.
const MAX_KEYS = 4_096;

interface Estimate {
    readonly averageMs: number;
    readonly p99Ms: number;
}

/** Estimates the service time per key from observed service times. */
export class ServiceTimes {
    readonly #first: Estimate;
    readonly #estimates = new Map<string, Estimate>();

    constructor(firstMs: number) {
        this.#first = { averageMs: firstMs, p99Ms: firstMs };
    }

    /** Moving average of the service time in ms. */
    expected(key: string): number {
        return (this.#estimates.get(key) ?? this.#first).averageMs;
    }

    /** Estimate of the 99th percentile in ms: about 1 in 100 observations exceeds it. */
    p99(key: string): number {
        return (this.#estimates.get(key) ?? this.#first).p99Ms;
    }

    /** Updates both estimates with one observation. */
    observe(key: string, serviceMs: number): void {
        const former = this.#estimates.get(key);
        if (former === undefined) {
            if (this.#estimates.size < MAX_KEYS) {
                this.#estimates.set(key, { averageMs: serviceMs, p99Ms: serviceMs });
            }
            return;
        }
        const averageMs = former.averageMs + (serviceMs - former.averageMs) * AVERAGE_WEIGHT;
        const step = serviceMs > former.p99Ms ? P99_STEP * QUANTILE : -P99_STEP * (1 - QUANTILE);
        this.#estimates.set(key, { averageMs, p99Ms: Math.max(averageMs, former.p99Ms * Math.exp(step)) });
    }
}
