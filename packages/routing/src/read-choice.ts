import type { LogPosition, TransactionContext } from "@medlarledge/statements";

/** Added for an endpoint in another data centre, in ms: a round trip between data centres. */
const REMOTE_PENALTY_MS = 3;

/** Reads on the primary count as this many times slower, since only the primary can serve writes. */
const PRIMARY_COST_FACTOR = 2;

/** One endpoint as the choice sees it. */
export interface ReadTarget {
    readonly id: string;
    readonly isPrimary: boolean;
    readonly isLocal: boolean;
    /** Expected time until one more order would be answered, in ms. */
    readonly expectedMs: number;
    /** Expected to hold the required position. */
    readonly isExpectedCaughtUp: boolean;
}

export interface ReadSelection {
    /** Undefined when only the leader can prove that the read is fresh. */
    readonly required: LogPosition | undefined;
    /** Usable endpoints that have not failed this request. */
    readonly targets: readonly ReadTarget[];
    /** Ties are broken by it: a number from 0 up to but not including 1. */
    readonly random: number;
}

export interface ReadChoice {
    readonly endpoint: string;
    readonly opening: Extract<TransactionContext, { kind: "bare" | "proven"; }>;
}

/** Chooses where a read runs; undefined when no target can serve it. */
export function chooseForRead({ required, targets, random }: ReadSelection): ReadChoice | undefined {
    if (required === undefined) {
        const primary = targets.find(target => target.isPrimary);
        return primary === undefined ? undefined : { endpoint: primary.id, opening: { kind: "proven" } };
    }
    const fitting = targets.filter(target => target.isExpectedCaughtUp || target.isPrimary);
    const start = Math.floor(random * fitting.length);
    const turned = [...fitting.slice(start), ...fitting.slice(0, start)];
    const [best] = turned.sort((left, right) => costOf(left) - costOf(right));
    return best === undefined ? undefined : { endpoint: best.id, opening: { kind: "bare", after: required } };
}

function costOf({ expectedMs, isPrimary, isLocal }: ReadTarget): number {
    return expectedMs * (isPrimary ? PRIMARY_COST_FACTOR : 1) + (isLocal ? 0 : REMOTE_PENALTY_MS);
}
