/** One waiting request as the plan sees it. */
export interface PlanItem<Item> {
    readonly item: Item;
    readonly worth: number;
    readonly deadlineAt: number;
    readonly costMs: number;
}

/**
 * Chooses the waiting requests that can all make their deadlines, in the order of their deadlines. Where the work up
 * to a deadline does not fit, the requests of least worth per time before it give way (as in Moore and Hodgson's
 * rule for late jobs). Those left out stay in the queue, since room may appear.
 */
export function planAdmissions<Item>(
    waiting: readonly PlanItem<Item>[],
    slots: number,
    now: number,
): readonly PlanItem<Item>[] {
    const byDeadline = [...waiting].sort((left, right) => left.deadlineAt - right.deadlineAt);
    const kept: PlanItem<Item>[] = [];
    let workMs = 0;
    for (const next of byDeadline) {
        kept.push(next);
        workMs += next.costMs;
        while (kept.length > 1 && now + workMs / slots > next.deadlineAt) {
            workMs -= removeLeastDense(kept).costMs;
        }
    }
    return kept;
}

function removeLeastDense<Item>(kept: PlanItem<Item>[]): PlanItem<Item> {
    let least = 0;
    for (const [index, item] of kept.entries()) {
        const other = kept[least];
        if (other !== undefined && item.worth / item.costMs <= other.worth / other.costMs) {
            least = index;
        }
    }
    const [dropped] = kept.splice(least, 1);
    return dropped as PlanItem<Item>;
}
