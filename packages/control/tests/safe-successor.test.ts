import fc from "fast-check";
import { expect, test } from "vitest";
import { type ProbedPosition, safeSuccessors } from "../src/safe-successor.js";

interface Replica {
    /** Number of the last commit that it has received. */
    readonly received: number;
    /** What its probe shows: everything, only what it has applied, or nothing. */
    readonly shows: "received" | "applied" | "nothing";
    readonly unapplied: number;
}

const REPLICA: fc.Arbitrary<Replica> = fc.record({
    received: fc.integer({ min: 0, max: 20 }),
    shows: fc.constantFrom("received", "applied", "nothing"),
    unapplied: fc.integer({ min: 0, max: 20 }),
});

function probed({ received, shows, unapplied }: Replica): ProbedPosition | undefined {
    if (shows === "nothing") {
        return undefined;
    }
    return shows === "received"
        ? { term: 1, number: received, isExact: true }
        : { term: 1, number: Math.max(0, received - unapplied), isExact: false };
}

// Guards against any combination of busy, silent and lagging replicas in which a promotion loses an acknowledged commit.
test("each replica that may be promoted has all commits that enough replicas have received", () => {
    let promoted = 0;
    const property = fc.property(
        fc.array(REPLICA, { minLength: 1, maxLength: 5 }),
        fc.integer({ min: 1, max: 3 }),
        (replicas, syncReplicas) => {
            const ids = replicas.map((_, index) => `r${index}`);
            const positions = new Map(replicas.map((replica, index) => [`r${index}`, probed(replica)]));
            const sorted = replicas.map(({ received }) => received).sort((left, right) => right - left);
            const acknowledged = sorted[syncReplicas - 1] ?? 0;
            const safe = safeSuccessors(ids, positions, syncReplicas);
            promoted += safe.length;
            return safe.every(id => (replicas[ids.indexOf(id)]?.received ?? -1) >= acknowledged);
        },
    );
    fc.assert(property, { seed: 5, numRuns: 20_000 });
    expect(promoted).toBeGreaterThan(10_000);
});

test("with all positions known, the replica with the newest one may be promoted", () => {
    const positions = new Map([
        ["a", { term: 2, number: 3, isExact: true }],
        ["b", { term: 1, number: 9, isExact: true }],
    ]);
    expect(safeSuccessors(["a", "b"], positions, 1)).toEqual(["a"]);
});
