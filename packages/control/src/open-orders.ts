import type { PromotionOrder } from "@medlarledge/protocol";

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

    /** @param mayHaveEarlierOrders whether earlier leaders may have given orders, which this one does not know */
    constructor(mayHaveEarlierOrders: boolean) {
        this.#mayHaveEarlierOrders = mayHaveEarlierOrders;
    }

    sent({ fence, endpoint }: PromotionOrder): void {
        this.#endpoints.set(fence, endpoint);
    }

    answered(fence: number, outcome: OrderOutcome): void {
        if (outcome === "refused") {
            this.#endpoints.delete(fence);
        }
        else if (outcome === "accepted") {
            this.#mayHaveEarlierOrders = false;
            [...this.#endpoints.keys()].filter(other => other <= fence).forEach(other => this.#endpoints.delete(other));
        }
    }

    /** Returns true when an endpoint other than the primary may still be promoted. */
    threaten(primary: string): boolean {
        return this.#mayHaveEarlierOrders || [...this.#endpoints.values()].some(endpoint => endpoint !== primary);
    }
}
