import type { LogPosition, TransactionContext } from "@medlarledge/statements";

/** Cost added for an endpoint in another data centre, in ms: a round trip between data centres. */
const REMOTE_PENALTY_MS = 3;

/** Factor on the cost of reads on the primary, which keeps its capacity for writes. */
const PRIMARY_COST_FACTOR = 2;

/** An endpoint that a read may be sent to. */
export interface ReadTarget {
    readonly id: string;
    readonly isPrimary: boolean;
    /** Whether it is in this host's data centre and connected directly, not through a relay. */
    readonly isLocal: boolean;
    /** Expected time until one more order would be answered, in ms. */
    readonly expectedMs: number;
    /** Whether the endpoint is expected to have reached the required position. */
    readonly isExpectedCaughtUp: boolean;
}

export interface ReadSelection {
    /** Log position that the read requires; undefined when only the primary can prove that the read is fresh. */
    readonly required: LogPosition | undefined;
    /** Usable endpoints on which this request has not failed yet. */
    readonly targets: readonly ReadTarget[];
    /** Breaks ties: a number from 0 up to but not including 1. */
    readonly random: number;
}

export interface ReadChoice {
    readonly endpoint: string;
    readonly opening: Extract<TransactionContext, { kind: "bare" | "proven"; }>;
}

/** Chooses the cheapest endpoint for a read; undefined when no target can serve it. */
export function chooseForRead({ required, targets, random }: ReadSelection): ReadChoice | undefined {
    if (required === undefined) {
        const primary = targets.find(target => target.isPrimary);
        return primary === undefined ? undefined : { endpoint: primary.id, opening: { kind: "proven" } };
    }
    const eligible = eligibleTargets(targets);
    const start = Math.floor(random * eligible.length);
    const rotated = [...eligible.slice(start), ...eligible.slice(0, start)];
    const [best] = rotated.sort((left, right) => costOf(left) - costOf(right));
    return best === undefined ? undefined : { endpoint: best.id, opening: { kind: "bare", after: required } };
}

/** Targets that may serve a read at a required position. */
export function eligibleTargets<T extends ReadTarget>(targets: readonly T[]): readonly T[] {
    return targets.filter(target => target.isExpectedCaughtUp || target.isPrimary);
}

function costOf({ expectedMs, isPrimary, isLocal }: ReadTarget): number {
    return expectedMs * (isPrimary ? PRIMARY_COST_FACTOR : 1) + (isLocal ? 0 : REMOTE_PENALTY_MS);
}
