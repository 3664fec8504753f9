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
};

/** A leader that commits every 10 ms, and a replica that was seen 6 s behind it at `now`. */
function laggingReplica(now: number): PositionTracker {
    const tracker = new PositionTracker();
    for (let at = 0; at <= now; at += 10) {
        tracker.recordPrimaryPosition({ term: 1, number: at / 10 }, at, at + 1);
    }
    tracker.recordEndpointPosition("b", { term: 1, number: (now - 6_000) / 10 }, now, now + 1);
    return tracker;
}

// Guards against replicas that get no reads for the rest of the day after they lagged for some seconds, so that their
// primary is overloaded (replica_lag on the grown deployments).
test("a replica that lagged is asked again after a while", () => {
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

// Guards against many hosts whose trials cost every caller two refusals before its read reaches the leader
// (replica_lag on the grown deployments, where each host has few reads).
test("a replica that goes on lagging is asked less and less often", () => {
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
