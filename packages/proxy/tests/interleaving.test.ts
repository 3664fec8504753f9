import { describe, expect, it } from "vitest";
import type { Sabotage } from "./interleaving.js";
import { Interleaving } from "./interleaving.js";

const SEEDS = 600;

async function violations(sabotage: Sabotage, seeds: number): Promise<string[]> {
    const found: string[] = [];
    for (let seed = 1; seed <= seeds; seed++) {
        found.push(...(await new Interleaving(seed, sabotage).run()).map(text => `seed ${seed}: ${text}`));
    }
    return found;
}

describe("random interleavings of callers, answers, losses, deadlines, leases and failovers", () => {
    it("keep every rule", async () => {
        expect(await violations("none", SEEDS)).toEqual([]);
    });

    // The checks can fail: each sabotage breaks one rule, and its check reports it for one of the first seeds.
    it.each([
        { sabotage: "leaseIgnored" as const, report: "acknowledged without a lease" },
        { sabotage: "writesRepeated" as const, report: "committed 2 times" },
        { sabotage: "readsUnproved" as const, report: "below the floor" },
    ])("show $sabotage", async ({ sabotage, report }) => {
        expect((await violations(sabotage, 40)).filter(text => text.includes(report))).not.toEqual([]);
    });
});
