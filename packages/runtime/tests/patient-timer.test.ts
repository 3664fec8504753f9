import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { PatientTimer } from "../src/patient-timer.js";

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

// Guards against a peer that is taken for silent because this process was frozen while the answer arrived.
test("after a pause of the process the timer gives arrived answers time to be read", () => {
    let pausedMs = 0;
    const now = () => performance.now() + pausedMs;
    let fired = false;
    new PatientTimer(100, now, () => (fired = true));
    pausedMs = 3_500;
    vi.advanceTimersByTime(100);
    expect(fired).toBe(false);
    vi.advanceTimersByTime(30);
    expect(fired).toBe(true);
});

// Guards against time-outs that never come, or come although their reason is gone.
test("without a pause the timer fires on time, and never after it was cancelled", () => {
    let fired = 0;
    new PatientTimer(100, () => performance.now(), () => (fired += 1));
    const cancelled = new PatientTimer(100, () => performance.now(), () => (fired += 1));
    cancelled.cancel();
    vi.advanceTimersByTime(100);
    expect(fired).toBe(1);
});
