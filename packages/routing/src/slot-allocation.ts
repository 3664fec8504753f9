/** What the keeper knows of one host. */
export interface SlotClaim {
    /** The most that the host may hold, as far as the keeper knows. */
    bound: number;
    expiresAt: number;
    wanted: number;
    waitingSince: number | undefined;
    heldSince: number | undefined;
}

/**
 * Deals the slots among the hosts, one each per round: first to holders within their quantum, then to those who wait
 * the longest, then to holders past their quantum. Slots that nobody wants stay where they are.
 */
export function allocateSlots(
    claims: ReadonlyMap<string, SlotClaim>,
    slots: number,
    quantumMs: number,
    now: number,
): ReadonlyMap<string, number> {
    const parts = new Map<string, number>([...claims.keys()].map(id => [id, 0]));
    const order = [...claims].sort((left, right) => compareTurns(left, right, quantumMs, now));
    const rest = dealRounds(order, parts, slots, claim => claim.wanted);
    dealRounds(order, parts, rest, claim => Math.max(claim.wanted, claim.bound));
    return parts;
}

function dealRounds(
    order: readonly (readonly [string, SlotClaim])[],
    parts: Map<string, number>,
    slots: number,
    limit: (claim: SlotClaim) => number,
): number {
    let rest = slots;
    for (let dealt = true; dealt && rest > 0;) {
        dealt = false;
        for (const [id, claim] of order) {
            const part = parts.get(id) ?? 0;
            if (rest > 0 && part < limit(claim)) {
                parts.set(id, part + 1);
                rest--;
                dealt = true;
            }
        }
    }
    return rest;
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

function turnOf(claim: SlotClaim, quantumMs: number, now: number): number {
    if (claim.heldSince === undefined) {
        return 1;
    }
    return now < claim.heldSince + quantumMs ? 0 : 2;
}
