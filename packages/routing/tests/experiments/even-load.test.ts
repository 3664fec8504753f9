import { expect, test } from "vitest";
import { Chooser, percentile, simulate, worstImbalance } from "../even-load.simulation.js";

const SEED = 26;

// Guards against waits that come from old information only: compares with a host that knows the load of every endpoint.
test.each([20, 100, 500])(
    "at load 0.7 with information %d ms old, the p99 of the wait is at most 1.5 times that with full knowledge",
    ageMs => {
        const p99 = (chooser: Chooser): number =>
            percentile(simulate({ chooser, load: 0.7, ageMs, durationMs: 6_000, seed: SEED }).waitsMs, 0.99);
        expect(p99(Chooser.LoadAware)).toBeLessThanOrEqual(1.5 * p99(Chooser.Omniscient));
    },
);

// Guards against oscillation when the information is older than the queues last.
test("at load 0.95 with information 500 ms old, the busiest endpoint gets at most 1.25 times the mean in 500 ms", () => {
    const options = { chooser: Chooser.LoadAware, load: 0.95, ageMs: 500, durationMs: 6_000, seed: SEED };
    expect(worstImbalance(simulate(options))).toBeLessThanOrEqual(1.25);
});
