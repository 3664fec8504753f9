import { expect, test } from "vitest";
import { PrimaryWork } from "../src/index.js";
import { Chooser, percentile, simulate, worstImbalance } from "./even-load.simulation.js";

const SEED = 26;
const EVENT = { from: 2_500, to: 4_500 };
const during = (value: number, otherwise: number) => (now: number): number =>
    now >= EVENT.from && now < EVENT.to ? value : otherwise;

// Guards against 135 hosts that all send to the endpoint with the lowest load in the same old information. The cells at
// 0.95 of the slots with information 500 ms old are in experiments/even-load.test.ts.
test.each([[0.3, 20], [0.3, 500], [0.7, 20], [0.7, 500], [0.95, 20], [0.95, 100]])(
    "at load %d with information %d ms old, the busiest of equal endpoints gets at most 1.25 times the mean in 500 ms",
    (load, ageMs) => {
        const result = simulate({ chooser: Chooser.LoadAware, load, ageMs, durationMs: 6_000, seed: SEED });
        expect(worstImbalance(result)).toBeLessThanOrEqual(1.25);
    },
);

// Guards against oscillation near capacity: shares that follow queues overrun the endpoints in turns.
test("at load 0.95 waits are shorter than with the choice of the cheapest and with two random choices", () => {
    const p99 = (chooser: Chooser): number =>
        percentile(simulate({ chooser, load: 0.95, ageMs: 100, durationMs: 6_000, seed: SEED }).waitsMs, 0.99);
    const loadAware = p99(Chooser.LoadAware);
    expect(loadAware).toBeLessThan(p99(Chooser.Cheapest));
    expect(loadAware).toBeLessThan(p99(Chooser.TwoRandom));
});

// Guards against an endpoint that is slow by a factor of 3 and overrun, and against hosts that all return to it at once.
test("a slow endpoint gets about its capacity, and its former share only gradually after it has recovered", () => {
    const slowness = during(3, 1);
    const { windows } = simulate({
        chooser: Chooser.LoadAware,
        load: 0.6,
        ageMs: 100,
        durationMs: 8_000,
        slowness,
        seed: SEED,
    });
    const shares = windows.map(counts => counts[2]! / counts.reduce((sum, count) => sum + count, 0));
    // The slowness is learned within a second.
    const whileSlow = shares.slice(5, 7);
    expect(Math.max(...whileSlow)).toBeLessThanOrEqual(0.2);
    const afterwards = shares.slice(7);
    expect(Math.max(...afterwards)).toBeLessThanOrEqual(1.25 / 3);
    expect(afterwards.at(-1)).toBeGreaterThan(Math.max(...whileSlow));
});

// Guards against an endpoint that attracts requests because it fails them faster than the others answer.
test("an endpoint that fails most requests keeps a trickle of them and gets more once it answers again", () => {
    const failures = during(0.8, 0);
    const { windows } = simulate({
        chooser: Chooser.LoadAware,
        load: 0.6,
        ageMs: 100,
        durationMs: 8_000,
        failures,
        seed: SEED,
    });
    const counts = windows.map(window => window[2]!);
    const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
    const whileFailing = counts.slice(5, 7);
    expect(mean(whileFailing)).toBeLessThanOrEqual(mean(counts.slice(0, 3)) / 3);
    expect(Math.min(...whileFailing)).toBeGreaterThan(0);
    expect(mean(counts.slice(-3))).toBeGreaterThan(mean(whileFailing));
});

// Guards against a primary that is overrun because it gets the same reads as the replicas besides its writes.
test("the primary's share of reads leaves its slots as busy as those of the replicas", () => {
    const work = new PrimaryWork();
    expect(work.readFactor(5, 15)).toBe(1);
    work.ran(true, 1_000, 0);
    work.ran(false, 8_000, 0);
    // 9,000 ms of work are 3,000 ms for each endpoint; the primary has 1,000 ms of its own, and 2,667 ms are its even share of reads.
    expect(work.readFactor(5, 15)).toBeCloseTo(2_000 / (8_000 / 3), 5);
    work.ran(true, 9_000, 0);
    expect(work.readFactor(5, 15)).toBe(0.05);
});
