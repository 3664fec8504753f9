import { expect, test } from "vitest";
import { decideDuringOutage } from "../src/outage-decision.js";

const lost = { lostAt: 1_000, orderedAt: undefined, promotionMs: 650, hasCandidate: false };

const at = (giveUpAt: number, now: number, waitedMs = 0) => ({ giveUpAt, now, waitedMs });

// Guards against callers that wait in vain for a primary that cannot be available before their wait limit.
test("a request early in a failover is refused at once with a retry delay", () => {
    expect(decideDuringOutage(lost, at(1_700, 1_200))).toEqual({ kind: "refuse", retryAfterMs: 900 });
});

// Guards against a refusal although the new primary is about to be available.
test("a request late in a failover waits", () => {
    expect(decideDuringOutage(lost, at(2_300, 1_800))).toEqual({ kind: "wait" });
});

// Guards against a refusal although control has ordered a promotion that ends in time.
test("after a promotion order, the wait is computed from the time of the order", () => {
    expect(decideDuringOutage({ ...lost, orderedAt: 1_100 }, at(1_800, 1_320))).toEqual({ kind: "wait" });
    expect(decideDuringOutage({ ...lost, orderedAt: 1_100 }, at(1_700, 1_200))).toEqual({
        kind: "refuse",
        retryAfterMs: 550,
    });
});

// Guards against a refusal although the new primary only has to be found, as after a planned change.
test("a request waits while the endpoints are probed for the primary", () => {
    expect(decideDuringOutage(lost, at(1_500, 1_030))).toEqual({ kind: "wait" });
    expect(decideDuringOutage({ ...lost, lostAt: undefined }, at(1_500, 1_030))).toEqual({ kind: "wait" });
});

// Guards against requests that pile up while a whole data centre is isolated.
test("once the failover should have ended, requests are refused at once", () => {
    expect(decideDuringOutage(lost, at(9_000, 2_200))).toEqual({ kind: "refuse", retryAfterMs: 500 });
});

// Guards against a refusal although an endpoint has announced itself as the primary, and against repeated waits for
// probes.
test("a request waits once for the probe of an endpoint that may be the primary", () => {
    const found = { ...lost, hasCandidate: true };
    expect(decideDuringOutage(found, at(9_000, 2_200))).toEqual({ kind: "wait" });
    expect(decideDuringOutage(found, at(9_000, 2_270, 70))).toEqual({ kind: "refuse", retryAfterMs: 500 });
});
