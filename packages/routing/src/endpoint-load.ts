/** Service time assumed before any was seen, in ms; statements of both users take 3 to 30 ms. */
const INITIAL_AVERAGE_MS = 10;

/** Weight of one answer in the average. */
const AVERAGE_WEIGHT = 1 / 8;

/** Without answers the average returns to the assumed time, halving the distance in this time. */
const AVERAGE_HALF_LIFE_MS = 2_000;

/**
 * An order without an answer after this many average times is overdue: its answer may be lost. The longest statements
 * of both users take five times the mean.
 */
const OVERDUE_FACTOR = 5;

/** No order is overdue before this time, whatever the average is. */
const MIN_OVERDUE_MS = 150;

/** Orders of this process that run or wait at one endpoint, and how long they take. */
export class EndpointLoad {
    #running = 0;
    #averageMs = INITIAL_AVERAGE_MS;
    #answeredAt = 0;

    get running(): number {
        return this.#running;
    }

    started(): void {
        this.#running += 1;
    }

    /** @param tookMs undefined when the order did not run */
    ended(tookMs: number | undefined, now: number): void {
        this.#running -= 1;
        if (tookMs !== undefined) {
            const former = this.averageMs(now);
            this.#averageMs = former + (tookMs - former) * AVERAGE_WEIGHT;
            this.#answeredAt = now;
        }
    }

    /** Expected time of one order, its queueing at the endpoint included. */
    averageMs(now: number): number {
        const kept = 0.5 ** (Math.max(0, now - this.#answeredAt) / AVERAGE_HALF_LIFE_MS);
        return INITIAL_AVERAGE_MS + (this.#averageMs - INITIAL_AVERAGE_MS) * kept;
    }

    /** Time after which an order is overdue. */
    overdueMs(now: number): number {
        return Math.max(MIN_OVERDUE_MS, OVERDUE_FACTOR * this.averageMs(now));
    }

    /** Expected time until one more order would be answered. */
    expectedMs(slots: number, now: number): number {
        return this.averageMs(now) * (1 + this.#running / Math.max(1, slots));
    }
}
