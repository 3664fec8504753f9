/** Time that an opening takes, and as much again for which it keeps a slot of the endpoint from another order. */
const OPENING_COST_MS = 24;

/** Openings of customers' connections to one endpoint at the same time, which keep slots free for orders. */
export const MAX_OPENINGS = 2;

/** One customer's demand for connections to an endpoint. */
export interface OwnerDemand {
    /** Orders that wait for a connection. */
    readonly waiting: number;
    /** Connections that run an order and are not overdue, so that they become free soon. */
    readonly inUse: number;
    readonly opening: number;
}

/**
 * Decides whether a customer's waiting orders need another connection, or are served sooner by those that the customer
 * has. On average an order that runs has half of its time left.
 */
export function needsOpening({ waiting, inUse, opening }: OwnerDemand, averageMs: number): boolean {
    if (waiting <= opening) {
        return false;
    }
    const available = inUse + opening;
    return available === 0 || (waiting - opening - 0.5) * averageMs / available > OPENING_COST_MS;
}
