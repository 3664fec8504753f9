import { NO_ENDPOINT } from "@medlarledge/protocol";
import type { MonitorView } from "./monitor-types.js";
import type { OpenOrders } from "./open-orders.js";

/** Pause between two orders of a primary that answers, while earlier orders may promote another endpoint. */
const CONFIRM_ORDER_INTERVAL_MS = 500;

/**
 * Decides when hosts may use a primary in groups whose replicas acknowledge commits: none from before the positions of
 * the replicas are read, and one again only when no other endpoint can be promoted by an earlier order.
 */
export class PrimarySuspension {
    readonly #openOrders: OpenOrders;
    /** Whether all hosts have confirmed the newest suspension that this leader has announced. */
    #isConfirmed = false;
    #confirmOrderedAt = Number.NEGATIVE_INFINITY;

    constructor(openOrders: OpenOrders) {
        this.#openOrders = openOrders;
    }

    /**
     * True where the choice of a successor has to wait until no host acknowledges commits: each one that is acknowledged
     * after the positions were read may be missing at the chosen endpoint.
     */
    isNeeded(view: MonitorView): boolean {
        return view.syncReplicas > 0 && !this.isInForce(view);
    }

    /** True while no host uses a primary, by an order of this leader that all have confirmed. */
    isInForce({ orderedPrimary }: MonitorView): boolean {
        return this.#isConfirmed && orderedPrimary === NO_ENDPOINT;
    }

    announced(): void {
        this.#isConfirmed = false;
    }

    ended(isConfirmed: boolean): void {
        this.#isConfirmed = isConfirmed;
    }

    /**
     * True when hosts may use the endpoint as soon as it leads: no earlier order can promote another one any more, which
     * would lack what is acknowledged from now on.
     */
    mayEnd(endpoint: string, { syncReplicas, newerOrdersVoidEarlier }: MonitorView, now: number): boolean {
        return syncReplicas === 0 || !newerOrdersVoidEarlier || this.#openOrders.areSettledFor(endpoint, now);
    }

    /** True when the endpoint, which leads, has to be ordered again now so that earlier orders become void. */
    takeConfirmingOrder(endpoint: string, now: number): boolean {
        const isDue = this.#openOrders.threaten(endpoint) && now - this.#confirmOrderedAt >= CONFIRM_ORDER_INTERVAL_MS;
        this.#confirmOrderedAt = isDue ? now : this.#confirmOrderedAt;
        return isDue;
    }
}
