import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { StallTolerantTimer } from "../src/stall-tolerant-timer.js";

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

// Guards against a time-out that is reported although the reply arrived while this process was stalled.
test("a timer that fires late after a stall waits until pending replies can be read", () => {
    let stalledMs = 0;
    const now = () => performance.now() + stalledMs;
    let fired = false;
    new StallTolerantTimer(100, now, () => (fired = true));
    stalledMs = 3_500;
    vi.advanceTimersByTime(100);
    expect(fired).toBe(false);
    vi.advanceTimersByTime(30);
    expect(fired).toBe(true);
});

// Guards against a time-out that never fires, or that fires after it was cancelled.
test("without a stall the timer fires on time, and a cancelled timer does not fire", () => {
    let fired = 0;
    new StallTolerantTimer(100, () => performance.now(), () => (fired += 1));
    const cancelled = new StallTolerantTimer(100, () => performance.now(), () => (fired += 1));
    cancelled.cancel();
    vi.advanceTimersByTime(100);
    expect(fired).toBe(1);
});
