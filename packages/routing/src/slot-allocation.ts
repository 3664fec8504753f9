/** State of one host as recorded by the slot manager. */
export interface SlotClaim {
    /** Upper bound of the slots that the host may hold. */
    bound: number;
    expiresAt: number;
    wanted: number;
    waitingSince: number | undefined;
    heldSince: number | undefined;
}

/**
 * Allocates the slots to the hosts round-robin: first to holders within their quantum, then to the hosts that have
 * waited longest, then to holders past their quantum. Slots that no host wants stay with their holders.
 */
export function allocateSlots(
    claims: ReadonlyMap<string, SlotClaim>,
    slots: number,
    quantumMs: number,
    now: number,
): ReadonlyMap<string, number> {
    const allocation = new Map<string, number>([...claims.keys()].map(id => [id, 0]));
    const order = [...claims].sort((left, right) => compareTurns(left, right, quantumMs, now));
    const remaining = allocateRounds(order, allocation, slots, claim => claim.wanted);
    allocateRounds(order, allocation, remaining, claim => Math.max(claim.wanted, claim.bound));
    return allocation;
}

/** Allocates slots round-robin up to each host's limit. Returns the number of slots left. */
function allocateRounds(
    order: readonly (readonly [string, SlotClaim])[],
    allocation: Map<string, number>,
    slots: number,
    limit: (claim: SlotClaim) => number,
): number {
    let remaining = slots;
    for (let isAllocating = true; isAllocating && remaining > 0;) {
        isAllocating = false;
        for (const [id, claim] of order) {
            const allocated = allocation.get(id) ?? 0;
            if (remaining > 0 && allocated < limit(claim)) {
                allocation.set(id, allocated + 1);
                remaining--;
                isAllocating = true;
            }
        }
    }
    return remaining;
}

function compareTurns(
    [leftId, left]: readonly [string, SlotClaim],
    [rightId, right]: readonly [string, SlotClaim],
    quantumMs: number,
    now: number,
): number {
    return turnOf(left, quantumMs, now) - turnOf(right, quantumMs, now)
        || (left.waitingSince ?? left.heldSince ?? 0) - (right.waitingSince ?? right.heldSince ?? 0)
        || (leftId < rightId ? -1 : 1);
}

/** Rank of a claim: 0 for holders within their quantum, 1 for waiting hosts, 2 for holders past their quantum. */
function turnOf(claim: SlotClaim, quantumMs: number, now: number): number {
    if (claim.heldSince === undefined) {
        return 1;
    }
    return now < claim.heldSince + quantumMs ? 0 : 2;
}
