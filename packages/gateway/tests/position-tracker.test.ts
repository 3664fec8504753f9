import { expect, test } from "vitest";
import { PositionTracker } from "../src/position-tracker.js";
import { Consistency, type Route } from "../src/route.js";

const ROUTE: Route = {
    database: "report",
    group: "orders",
    consistency: Consistency.Session,
    maxStalenessMs: 2_500,
    timeoutMs: 800,
    targetMs: 100,
    priority: 2,
    isPublic: false,
};

/** Tracks a primary that commits every 10 ms, and a replica whose position at `now` is 6 s behind. */
function laggingReplica(now: number): PositionTracker {
    const tracker = new PositionTracker();
    for (let at = 0; at <= now; at += 10) {
        tracker.recordPrimaryPosition({ term: 1, number: at / 10 }, at, at + 1);
    }
    tracker.recordEndpointPosition("b", { term: 1, number: (now - 6_000) / 10 }, now, now + 1);
    return tracker;
}

// Guards against replicas that get no reads any more after they lagged for some seconds, which overloads the primary
// (replica_lag on the grown deployments).
test("a replica that lagged is tried again after a delay", () => {
    const tracker = laggingReplica(10_000);
    const required = tracker.required(ROUTE, undefined, 10_010);
    expect(required).toBeDefined();
    const mayHold = (now: number): boolean => required !== undefined && tracker.mayHaveReached("b", required, now);
    expect(mayHold(10_010)).toBe(false);
    expect(mayHold(10_300)).toBe(false);
    expect(mayHold(10_401)).toBe(true);
    tracker.recordEndpointPosition("b", { term: 1, number: 450 }, 10_401, 10_402);
    expect(mayHold(10_410)).toBe(false);
});

// Guards against retries on lagging replicas that cost every caller two refusals before its read reaches the primary.
// It comes about with many hosts, each of which has few reads (replica_lag on the grown deployments).
test("a replica that keeps lagging is tried at growing intervals", () => {
    const tracker = laggingReplica(20_000);
    const required = tracker.required(ROUTE, undefined, 20_010);
    const tries: number[] = [];
    for (let now = 20_010; now < 28_000; now += 10) {
        tracker.recordPrimaryPosition({ term: 1, number: now / 10 }, now - 1, now);
        if (required !== undefined && tracker.mayHaveReached("b", required, now)) {
            tries.push(now);
            tracker.recordEndpointPosition("b", { term: 1, number: 1_400 }, now, now + 1);
        }
    }
    expect(tries.length).toBeLessThanOrEqual(7);
    expect(Math.max(...tries.map((at, index) => at - (tries[index - 1] ?? 20_000)))).toBeLessThanOrEqual(2_010);
});
