/** An endpoint that rejects several orders within this time has one full queue; the limit falls once. */
const DECREASE_INTERVAL_MS = 100;

const DECREASE_FACTOR = 0.5;

/** Increase of the limit with each answer: by one after this many answers. */
const ANSWERS_PER_INCREASE = 96;

/**
 * Limit of concurrent orders that one process sends to an endpoint, learned from the orders that the endpoint rejects
 * because its queue is full (additive increase, multiplicative decrease). Processes that share an endpoint find their
 * parts of its capacity without knowing of each other.
 */
export class SheddingLimit {
    #limit = Infinity;
    #decreasedAt = Number.NEGATIVE_INFINITY;

    /** Maximum number of concurrent orders, at least 1 and at most `max`. */
    value(max: number): number {
        return Math.max(1, Math.min(max, Math.floor(this.#limit)));
    }

    /** Lowers the limit after the endpoint rejected an order while `running` orders of this process ran there. */
    rejected(running: number, now: number): void {
        if (now - this.#decreasedAt >= DECREASE_INTERVAL_MS) {
            this.#decreasedAt = now;
            this.#limit = Math.max(1, Math.min(this.#limit, running) * DECREASE_FACTOR);
        }
    }

    /** Raises the limit a little after the endpoint ran an order. */
    answered(): void {
        this.#limit += 1 / ANSWERS_PER_INCREASE;
    }
}
