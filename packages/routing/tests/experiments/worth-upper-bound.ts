/** One request of a load, with its service time. */
export interface Job {
    readonly id: number;
    readonly arrivesAt: number;
    readonly deadlineAt: number;
    readonly worth: number;
    readonly costMs: number;
    readonly kind: string;
}

interface AcceptedWork {
    readonly arrivesAt: number;
    readonly deadlineAt: number;
    readonly workMs: number;
}

/**
 * Returns an upper bound of the worth that any schedule can achieve. The bounding schedule knows all arrivals and service
 * times in advance, may preempt statements, may run one statement on several slots at once, and counts partial worth of
 * a partly finished statement. The amounts of work that such a schedule can finish form a polymatroid, so the greedy
 * choice of requests by worth per time, each as far as it still fits, is optimal.
 */
export function worthUpperBound(jobs: readonly Job[], slots: number): number {
    const byDensity = [...jobs].sort((left, right) => right.worth / right.costMs - left.worth / left.costMs);
    let accepted: readonly AcceptedWork[] = [];
    let worth = 0;
    for (const job of byDensity) {
        const { fits, countedMs } = fittingWork(accepted, job, slots);
        accepted = fits > 0 ? insert(accepted, { ...job, workMs: fits }) : accepted;
        worth += job.worth * (countedMs / job.costMs);
    }
    return worth;
}

/** Returns the work of a job that still fits, found by bisection to within 2 %; the counted work is rounded up. */
function fittingWork(accepted: readonly AcceptedWork[], job: Job, slots: number): { fits: number; countedMs: number; } {
    if (isFeasible(insert(accepted, { ...job, workMs: job.costMs }), slots)) {
        return { fits: job.costMs, countedMs: job.costMs };
    }
    let low = 0;
    let high = job.costMs;
    while (high - low > job.costMs / 50) {
        const middle = (low + high) / 2;
        if (isFeasible(insert(accepted, { ...job, workMs: middle }), slots)) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    return { fits: low, countedMs: high };
}

function insert(accepted: readonly AcceptedWork[], job: AcceptedWork): readonly AcceptedWork[] {
    const index = accepted.findIndex(other => other.arrivesAt > job.arrivesAt);
    const at = index < 0 ? accepted.length : index;
    return [...accepted.slice(0, at), job, ...accepted.slice(at)];
}

/** Preemptive earliest-deadline-first scheduling meets all deadlines whenever any schedule does. */
function isFeasible(sorted: readonly AcceptedWork[], slots: number): boolean {
    const open: { readonly deadlineAt: number; left: number; }[] = [];
    let now = 0;
    for (let index = 0; index <= sorted.length; index++) {
        const next = sorted[index]?.arrivesAt ?? Infinity;
        while (open.length > 0 && now < next) {
            const first = open[0]!;
            const takes = Math.min(first.left / slots, next - now);
            now += takes;
            first.left -= takes * slots;
            if (now > first.deadlineAt + 1e-9) {
                return false;
            }
            if (first.left > 1e-9) {
                break;
            }
            open.shift();
        }
        const job = sorted[index];
        if (job !== undefined) {
            now = Math.max(now, job.arrivesAt);
            const place = open.findIndex(other => other.deadlineAt > job.deadlineAt);
            open.splice(place < 0 ? open.length : place, 0, { deadlineAt: job.deadlineAt, left: job.workMs });
        }
    }
    return true;
}
