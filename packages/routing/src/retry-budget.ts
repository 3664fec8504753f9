import { Random } from "./random.js";

export interface RetryOptions {
    /** Maximum ratio of retries to first attempts. */
    readonly share: number;
    /** Retries per window that are allowed however few first attempts there were. */
    readonly minRetries: number;
    readonly windowMs: number;
    readonly baseDelayMs: number;
    readonly maxDelayMs: number;
    /** Time without retries after an endpoint shed load; applies to requests that failed on that endpoint. */
    readonly shedPauseMs: number;
    readonly seed: number;
}

export const RETRY_OPTIONS: Omit<RetryOptions, "seed"> = {
    share: 0.1,
    minRetries: 0,
    windowMs: 10_000,
    baseDelayMs: 2,
    maxDelayMs: 250,
    shedPauseMs: 1_000,
};

const BUCKETS = 10;

interface Bucket {
    readonly number: number;
    attempts: number;
    retries: number;
}

/** Retry budget: limits retries to a share of the load in a sliding window and adds exponential backoff with jitter. */
export class RetryBudget {
    readonly #options: RetryOptions;
    readonly #random: Random;
    readonly #shedAt = new Map<string, number>();
    #buckets: Bucket[] = [];

    constructor(options: RetryOptions) {
        this.#options = options;
        this.#random = new Random(options.seed);
    }

    /** Counts a first attempt. */
    attempted(now: number): void {
        this.#bucket(now).attempts++;
    }

    /** Records that an endpoint refused a request because of its load. */
    shed(endpoint: string, now: number): void {
        this.#shedAt.set(endpoint, now);
    }

    /**
     * Takes one retry from the budget. Returns the delay before it in ms, or undefined when no retry is allowed.
     * @param endpoint where the request failed
     * @param attempt 1 for the first retry
     */
    retry(endpoint: string, attempt: number, now: number): number | undefined {
        if (now < (this.#shedAt.get(endpoint) ?? -Infinity) + this.#options.shedPauseMs) {
            return undefined;
        }
        const bucket = this.#bucket(now);
        const { share, minRetries } = this.#options;
        if (this.#retries() + 1 > Math.max(minRetries, share * this.#attempts(bucket.number))) {
            return undefined;
        }
        bucket.retries++;
        const longest = Math.min(this.#options.maxDelayMs, this.#options.baseDelayMs * 2 ** attempt);
        return this.#random.unit() * longest;
    }

    #bucket(now: number): Bucket {
        const number = Math.floor(now / (this.#options.windowMs / BUCKETS));
        const last = this.#buckets.at(-1);
        if (last?.number === number) {
            return last;
        }
        const bucket = { number, attempts: 0, retries: 0 };
        this.#buckets = [...this.#buckets.filter(former => former.number >= number - BUCKETS), bucket];
        return bucket;
    }

    /** Attempts in the latest buckets that lie completely within the window. */
    #attempts(current: number): number {
        return this.#buckets
            .filter(bucket => bucket.number > current - BUCKETS)
            .reduce((sum, bucket) => sum + bucket.attempts, 0);
    }

    /** Retries in one bucket more than the window, so that every retry within the window is counted. */
    #retries(): number {
        return this.#buckets.reduce((sum, bucket) => sum + bucket.retries, 0);
    }
}
