import { describe, expect, test } from "vitest";
import { LeaseAuthority } from "../src/index.js";
import { PrimarySimulation, type PrimarySimulationOptions } from "./primary-lease-simulation.js";

const SCHEDULES = 10_000;
const BATCHES = 5;
const FIRST_SEED = 70_000;
const FAULTS = 8;

function runSchedule(options: PrimarySimulationOptions): PrimarySimulation {
    const simulation = new PrimarySimulation(options);
    simulation.run(FAULTS);
    return simulation;
}

describe("no write that a former primary commits after a promotion is acknowledged", () => {
    test.each(Array.from({ length: BATCHES }, (_, batch) => batch))("generated schedules, batch %i", batch => {
        let acknowledged = 0;
        let promotions = 0;
        const size = SCHEDULES / BATCHES;
        for (let index = 0; index < size; index++) {
            const seed = FIRST_SEED + batch * size + index;
            const simulation = runSchedule({ seed });
            expect(simulation.violations, `seed ${seed}`).toEqual([]);
            acknowledged += simulation.acknowledged;
            promotions += simulation.promotions;
        }
        // Guards against schedules in which nothing is promoted or acknowledged.
        expect(promotions).toBeGreaterThan(size);
        expect(acknowledged).toBeGreaterThan(100 * size);
    });
});

describe("the check detects violations", () => {
    test.each([
        ["hosts need no lease", { ignoresLeases: true }],
        ["the leader waits for no host", { waitsForNobody: true }],
    ])("when %s", (_, options) => {
        const seeds = Array.from({ length: 3_000 }, (_, index) => FIRST_SEED + index);
        const isFound = seeds.some(seed => runSchedule({ seed, ...options }).violations.length > 0);
        expect(isFound).toBe(true);
    });
});

describe("LeaseAuthority", () => {
    const timing = { leaseMs: 400, driftMarginMs: 20, stepDownMs: 300 };
    const order = { group: "orders", endpoint: "b", fence: 7 };
    const host = {
        id: "h1",
        incarnation: "1",
        dataCentre: "d1",
        peerAddress: "",
        httpAddress: "",
        callerAddress: "",
        control: false,
    };

    // Guards against a promotion while a host still uses a lease that an earlier leader granted.
    test("waits for the leases that an earlier leader may have granted", () => {
        const authority = new LeaseAuthority(timing, [host], 1_000);
        authority.revoke(order);
        expect(authority.holders("orders", 1_740)).toEqual(["h1"]);
        expect(authority.holders("orders", 1_741)).toEqual([]);
    });

    // Guards against waiting for the lease of a process that has been replaced, as after a loss of power.
    test("does not wait for an earlier process of a host that has connected again", () => {
        const authority = new LeaseAuthority(timing, [host], 1_000);
        authority.connected({ ...host, incarnation: "2" }, 1_010);
        authority.revoke(order);
        expect(authority.holders("orders", 1_020)).toEqual([]);
    });

    // Guards against taking the confirmation of an older order for that of the present one.
    test("waits for the confirmation of the newest order", () => {
        const authority = new LeaseAuthority(timing, [host], 1_000);
        authority.connected(host, 1_010);
        authority.revoke(order);
        authority.confirmed("h1", "orders", 6);
        expect(authority.holders("orders", 1_020)).toEqual(["h1"]);
        authority.confirmed("h1", "orders", 7);
        expect(authority.holders("orders", 1_020)).toEqual([]);
    });
});
