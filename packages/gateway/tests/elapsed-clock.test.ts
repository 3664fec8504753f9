import { expect, test } from "vitest";
import { ElapsedClock } from "../src/elapsed-clock.js";

function clocks() {
    const time = { steady: 1_000, wall: 500_000 };
    const elapsed = new ElapsedClock({ now: () => time.steady, wallClock: () => time.wall });
    return { time, elapsed };
}

// Guards against stale data that counts as fresh because the steady clock stops while the machine is suspended.
test("the time of a suspension is counted although the steady clock did not advance", () => {
    const { time, elapsed } = clocks();
    const before = elapsed.now();
    time.wall += 3_500;
    expect(elapsed.now() - before).toBe(3_500);
    time.steady += 100;
    time.wall += 100;
    expect(elapsed.now() - before).toBe(3_600);
});

// Guards against ages that shrink when the time of day is set back.
test("setting back the time of day does not reduce the elapsed time", () => {
    const { time, elapsed } = clocks();
    const before = elapsed.now();
    time.steady += 250;
    time.wall += 250 - 2_400;
    expect(elapsed.now() - before).toBe(250);
    time.steady += 50;
    time.wall += 50 + 2_400;
    expect(elapsed.now() - before).toBeGreaterThanOrEqual(300);
});

// Guards against a clock that runs fast because the time of day advances in whole milliseconds.
test("the rounding of the time of day adds no elapsed time", () => {
    const { time, elapsed } = clocks();
    const before = elapsed.now();
    for (let step = 1; step <= 1_000; step++) {
        time.steady = 1_000 + step * 0.3;
        time.wall = 500_000 + Math.round(step * 0.3);
        elapsed.now();
    }
    expect(elapsed.now() - before).toBeCloseTo(300, 5);
});
