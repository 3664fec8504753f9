import { describe, expect, it } from "vitest";
import type { InjectedFault } from "./random-interleaving.js";
import { RandomInterleaving } from "./random-interleaving.js";

const SEED_COUNT = 600;

async function violations(fault: InjectedFault, seedCount: number): Promise<string[]> {
    const found: string[] = [];
    for (let seed = 1; seed <= seedCount; seed++) {
        found.push(...(await new RandomInterleaving(seed, fault).run()).map(text => `seed ${seed}: ${text}`));
    }
    return found;
}

describe("random interleavings of callers, responses, lost connections, deadlines, leases and failovers", () => {
    it("violate no rule", async () => {
        expect(await violations("none", SEED_COUNT)).toEqual([]);
    });

    // Shows that the checks can fail: each injected fault breaks one rule, which is reported for one of the first
    // seeds.
    it.each([
        { fault: "leaseIgnored" as const, report: "acknowledged without a lease" },
        { fault: "writesRepeated" as const, report: "committed 2 times" },
        { fault: "readsUnchecked" as const, report: "below the floor" },
    ])("show $sabotage", async ({ fault, report }) => {
        expect((await violations(fault, 40)).filter(text => text.includes(report))).not.toEqual([]);
    });
});
