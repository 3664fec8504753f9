/**
 * A queue that has not been empty for this long does not go back to a burst: it makes everybody wait and serves nobody
 * more. Bursts of both users' callers are served within some tens of ms.
 */
const STANDING_AFTER_MS = 200;

/**
 * Part of an order's time that it may spend in a standing queue. Callers want most answers within a quarter of the
 * time-out, and as much again goes to the network and to running the order.
 */
const STANDING_WAIT_SHARE = 1 / 8;

/** Time that an order has, in ms. */
export interface OrderTimeLimits {
    /** How long it may wait. */
    readonly patienceMs: number;
    /** Until its caller's answer is due. */
    readonly timeoutMs: number;
}

/** Tells a queue that absorbs a burst from one that stands because more arrives than can be served. */
export class StandingQueue {
    #filledAt: number | undefined;

    /** Takes the number of those that wait, whenever it may have changed. */
    update(waiting: number, now: number): void {
        if (waiting === 0) {
            this.#filledAt = undefined;
        }
        else {
            this.#filledAt ??= now;
        }
    }

    /** How long an order may be expected to wait; one that would wait longer is better refused at once. */
    patienceMs({ patienceMs, timeoutMs }: OrderTimeLimits, now: number): number {
        const isStanding = this.#filledAt !== undefined && now - this.#filledAt >= STANDING_AFTER_MS;
        return isStanding ? Math.min(patienceMs, timeoutMs * STANDING_WAIT_SHARE) : patienceMs;
    }
}
