import type { Random } from "./random.js";
import type { Candidate } from "./route.js";

/** Load balancing: chooses one of the candidates, which can all serve the request. */
export type Spread = (candidates: readonly Candidate[], random: Random) => Candidate | undefined;

// Load added to candidates in another data centre, in statements per slot. One statement takes about as long as the
// round trip between data centres at Vouwwerk (3 ms), so half a queued statement per slot outweighs it.
const REMOTE_LOAD = 0.5;

export const SPREADS = {
    leastInFlight: (candidates, random) => {
        const start = candidates.length > 0 ? random.below(candidates.length) : 0;
        return [...candidates.slice(start), ...candidates.slice(0, start)].reduce<Candidate | undefined>(
            lessLoaded,
            undefined,
        );
    },
    /** Power of two random choices: hosts with the same information do not all choose the same endpoint. */
    twoChoices: (candidates, random) => {
        if (candidates.length < 2) {
            return candidates[0];
        }
        const first = random.below(candidates.length);
        const second = (first + 1 + random.below(candidates.length - 1)) % candidates.length;
        return lessLoaded(candidates[first], candidates[second]);
    },
} as const satisfies Record<string, Spread>;

export type SpreadName = keyof typeof SPREADS;

function lessLoaded(left: Candidate | undefined, right: Candidate | undefined): Candidate | undefined {
    if (left === undefined || right === undefined) {
        return left ?? right;
    }
    return loadOf(right) < loadOf(left) ? right : left;
}

function loadOf(candidate: Candidate): number {
    const load = candidate.inFlight / Math.max(1, candidate.endpoint.slots);
    return candidate.sameDataCentre ? load : load + REMOTE_LOAD;
}
