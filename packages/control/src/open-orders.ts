import { NO_ENDPOINT, type PromotionOrder } from "@medlarledge/protocol";

/** Time from the acceptance of an order to its effect, at most, in ms; the platform takes up to 600 ms. */
export const PROMOTION_TIMEOUT_MS = 2_000;

/** The platform's answer to an order; `unknown` when none came. */
export type OrderOutcome = "accepted" | "refused" | "unknown";

/**
 * The promotion orders of a group that the platform may still carry out: those without an answer, also of earlier
 * leaders. An accepted order makes all void that have a lower fencing token.
 */
export class OpenOrders {
    /** Endpoints of the open orders, by fencing token. */
    readonly #endpoints = new Map<number, string>();
    #mayHaveEarlierOrders: boolean;
    /** The endpoint of the last accepted order, and until when it may take effect. */
    #accepted: { readonly endpoint: string; readonly until: number; } | undefined;
    /** Until when an order may take effect that was accepted before it became void. */
    #othersUntil = Number.NEGATIVE_INFINITY;

    /** @param mayHaveEarlierOrders whether earlier leaders may have given orders, which this one does not know */
    constructor(mayHaveEarlierOrders: boolean) {
        this.#mayHaveEarlierOrders = mayHaveEarlierOrders;
    }

    sent({ fence, endpoint }: PromotionOrder): void {
        this.#endpoints.set(fence, endpoint);
    }

    answered(fence: number, outcome: OrderOutcome, now: number): void {
        if (outcome === "refused") {
            this.#endpoints.delete(fence);
        }
        else if (outcome === "accepted") {
            const endpoint = this.#endpoints.get(fence) ?? NO_ENDPOINT;
            if (this.#accepted !== undefined && this.#accepted.endpoint !== endpoint) {
                this.#othersUntil = Math.max(this.#othersUntil, this.#accepted.until);
            }
            if (this.threaten(endpoint)) {
                this.#othersUntil = now + PROMOTION_TIMEOUT_MS;
            }
            this.#accepted = { endpoint, until: now + PROMOTION_TIMEOUT_MS };
            this.#mayHaveEarlierOrders = false;
            [...this.#endpoints.keys()].filter(other => other <= fence).forEach(other => this.#endpoints.delete(other));
        }
    }

    /** Returns true when no endpoint other than the primary can be promoted any more by an order that was given. */
    areSettledFor(primary: string, now: number): boolean {
        const isEffectPending = now < this.#othersUntil
            || (this.#accepted !== undefined && this.#accepted.endpoint !== primary && now < this.#accepted.until);
        return !this.threaten(primary) && !isEffectPending;
    }

    /** Returns true when an endpoint other than the primary may still be promoted. */
    threaten(primary: string): boolean {
        return this.#mayHaveEarlierOrders || [...this.#endpoints.values()].some(endpoint => endpoint !== primary);
    }
}
