/** Expected time from a promotion order to the first statement on the new primary, before one has been observed. */
const DEFAULT_PROMOTION_MS = 650;

/** A longer time was not the platform's: the endpoint or the network failed meanwhile. */
const MAX_PROMOTION_MS = 3_000;

/** Number of observed promotions of which the shortest counts: a host without waiting requests notices the end late. */
const OBSERVED_PROMOTIONS = 5;

/** Allowance for a promotion that takes longer than the shortest one. */
const SLACK_MS = 50;

/** Learns how long promotions take. All groups share it, since one platform promotes their endpoints. */
export class PromotionTimes {
    readonly #observedMs: number[] = [];

    /** Expected time from an order to the first statement on the new primary, in ms. */
    get expectedMs(): number {
        return this.#observedMs.length === 0 ? DEFAULT_PROMOTION_MS : Math.min(...this.#observedMs) + SLACK_MS;
    }

    /** Records the time from an order to the first answer of the new primary, in ms. */
    observed(promotionMs: number): void {
        if (promotionMs <= MAX_PROMOTION_MS) {
            this.#observedMs.push(promotionMs);
            this.#observedMs.splice(0, this.#observedMs.length - OBSERVED_PROMOTIONS);
        }
    }
}
