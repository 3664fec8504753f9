/**
 * A queue that has not been empty for this long is a standing queue, not a burst: it adds latency without raising
 * throughput. Bursts of both users' callers are served within some tens of ms.
 */
const STANDING_AFTER_MS = 200;

/**
 * Share of an order's timeout that it may spend in a standing queue. Callers want most answers within a quarter of the
 * timeout, and as much again goes to the network and to running the order.
 */
const STANDING_WAIT_SHARE = 1 / 8;

/**
 * Share of an order's target that it may spend in a standing queue. As much again goes to the network, to running the
 * order and to the other statements of its operation; beyond that, a late order takes the place of one in time.
 */
const STANDING_TARGET_SHARE = 1 / 2;

/** Time limits of an order, in ms. */
export interface OrderTimeLimits {
    /** Maximum wait for a connection. */
    readonly patienceMs: number;
    /** Time until the answer to the caller is due. */
    readonly timeoutMs: number;
    /** Time until the caller wants the answer; undefined when only the timeout counts. */
    readonly targetMs?: number | undefined;
}

/**
 * Distinguishes a queue that absorbs a burst from a standing queue, which stays filled because orders arrive faster
 * than they are served.
 */
export class StandingQueue {
    #filledAt: number | undefined;

    /** Records the queue length; call it whenever the length may have changed. */
    update(waiting: number, now: number): void {
        if (waiting === 0) {
            this.#filledAt = undefined;
        }
        else {
            this.#filledAt ??= now;
        }
    }

    /** Maximum expected wait of an order in ms; an order that would wait longer should be refused at once. */
    patienceMs({ patienceMs, timeoutMs, targetMs }: OrderTimeLimits, now: number): number {
        const isStanding = this.#filledAt !== undefined && now - this.#filledAt >= STANDING_AFTER_MS;
        const standingMs = targetMs === undefined
            ? timeoutMs * STANDING_WAIT_SHARE
            : Math.max(0, targetMs * STANDING_TARGET_SHARE);
        return isStanding ? Math.min(patienceMs, standingMs) : patienceMs;
    }
}
