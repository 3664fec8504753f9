/** Service time assumed before the first answer, in ms; statements of both users take 3 to 30 ms. */
const INITIAL_AVERAGE_MS = 10;

/** Weight of one answer in the exponential moving average. */
const AVERAGE_WEIGHT = 1 / 8;

/** Half-life with which the average returns to its initial value while no answers arrive. */
const AVERAGE_HALF_LIFE_MS = 2_000;

/**
 * An order without an answer after this many average times is overdue: its answer may be lost. The longest statements
 * of both users take five times the mean.
 */
const OVERDUE_FACTOR = 5;

/** Minimum time before an order is overdue, whatever the average is. */
const MIN_OVERDUE_MS = 150;

/** Tracks the number of this process's orders at one endpoint and their average duration. */
export class EndpointLoad {
    #running = 0;
    #averageMs = INITIAL_AVERAGE_MS;
    #answeredAt = 0;

    get running(): number {
        return this.#running;
    }

    /** Counts an order sent to the endpoint. */
    started(): void {
        this.#running += 1;
    }

    /**
     * Counts the end of an order.
     * @param durationMs undefined when the order did not run
     */
    ended(durationMs: number | undefined, now: number): void {
        this.#running -= 1;
        if (durationMs !== undefined) {
            const former = this.averageMs(now);
            this.#averageMs = former + (durationMs - former) * AVERAGE_WEIGHT;
            this.#answeredAt = now;
        }
    }

    /** Expected duration of one order in ms, including its wait in the endpoint's queue. */
    averageMs(now: number): number {
        const decay = 0.5 ** (Math.max(0, now - this.#answeredAt) / AVERAGE_HALF_LIFE_MS);
        return INITIAL_AVERAGE_MS + (this.#averageMs - INITIAL_AVERAGE_MS) * decay;
    }

    /** Time in ms after which an order is overdue. */
    overdueMs(now: number): number {
        return Math.max(MIN_OVERDUE_MS, OVERDUE_FACTOR * this.averageMs(now));
    }

    /** Expected time in ms until one more order would be answered. */
    expectedMs(slots: number, now: number): number {
        return this.averageMs(now) * (1 + this.#running / Math.max(1, slots));
    }
}
