/** A waiting request with the figures that the plan needs. */
export interface PlanItem<Item> {
    readonly item: Item;
    readonly worth: number;
    readonly deadlineAt: number;
    readonly costMs: number;
}

/**
 * Selects waiting requests that can all meet their deadlines, ordered by deadline. Where the work up to a deadline does
 * not fit, the requests with the least worth per time are removed (as in the Moore-Hodgson algorithm, which minimises
 * late jobs). Requests that are not selected stay in the queue, since capacity may become free.
 */
export function planAdmissions<Item>(
    waiting: readonly PlanItem<Item>[],
    slots: number,
    now: number,
): readonly PlanItem<Item>[] {
    const byDeadline = [...waiting].sort((left, right) => left.deadlineAt - right.deadlineAt);
    const selected: PlanItem<Item>[] = [];
    let workMs = 0;
    for (const next of byDeadline) {
        selected.push(next);
        workMs += next.costMs;
        while (selected.length > 1 && now + workMs / slots > next.deadlineAt) {
            workMs -= removeLeastDense(selected).costMs;
        }
    }
    return selected;
}

/** Removes and returns the request with the least worth per time. */
function removeLeastDense<Item>(selected: PlanItem<Item>[]): PlanItem<Item> {
    let least = 0;
    for (const [index, item] of selected.entries()) {
        const other = selected[least];
        if (other !== undefined && item.worth / item.costMs <= other.worth / other.costMs) {
            least = index;
        }
    }
    const [removed] = selected.splice(least, 1);
    return removed as PlanItem<Item>;
}
