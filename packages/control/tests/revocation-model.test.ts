import { describe, expect, test } from "vitest";
import { RevocationSimulation, type RevocationSimulationOptions } from "./revocation-simulation.js";

const SCHEDULES = 2_000;
const FIRST_SEED = 41_000;

function runSchedule(options: RevocationSimulationOptions): RevocationSimulation {
    const simulation = new RevocationSimulation(options);
    simulation.run();
    return simulation;
}

// Guards against a revoked key that still works on a host that is cut off, frozen or restarted, or that asked a deposed
// leader.
test("no request is accepted later than the revocation time after its key was revoked", () => {
    let accepted = 0;
    let revocations = 0;
    for (let index = 0; index < SCHEDULES; index++) {
        const simulation = runSchedule({ seed: FIRST_SEED + index });
        expect(simulation.violations, `seed ${FIRST_SEED + index}`).toEqual([]);
        accepted += simulation.accepted;
        revocations += simulation.revocations;
    }
    // Guards against schedules in which nothing is accepted or revoked.
    expect(accepted).toBeGreaterThan(100 * SCHEDULES);
    expect(revocations).toBeGreaterThan(2 * SCHEDULES);
});

describe("the check detects violations", () => {
    test.each([
        ["hosts accept keys without a lease", { ignoresLease: true }],
        ["the lease counts from the arrival of an answer", { countsFromArrival: true }],
        ["deposed leaders answer", { answersUnconfirmed: true }],
    ])("when %s", (_, options) => {
        const seeds = Array.from({ length: 500 }, (_, index) => FIRST_SEED + index);
        expect(seeds.find(seed => runSchedule({ seed, ...options }).violations.length > 0)).toBeDefined();
    });
});
