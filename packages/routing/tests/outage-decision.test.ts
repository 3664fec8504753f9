import { expect, test } from "vitest";
import { decideDuringOutage } from "../src/outage-decision.js";

const lost = { lostAt: 1_000, orderedAt: undefined, hasCandidate: false };

const at = (giveUpAt: number, now: number, waitedMs = 0) => ({ giveUpAt, now, waitedMs });

// Guards against callers that wait in vain for a primary that cannot be there before they give up.
test("a request early in a failover is refused at once and told when to come back", () => {
    expect(decideDuringOutage(lost, at(1_700, 1_200))).toEqual({ kind: "refuse", retryAfterMs: 900 });
});

// Guards against a refusal although the next primary is about to lead.
test("a request late in a failover waits", () => {
    expect(decideDuringOutage(lost, at(2_300, 1_800))).toEqual({ kind: "wait" });
});

// Guards against a refusal although control has ordered a promotion that ends in time.
test("an order tells when the next primary leads", () => {
    expect(decideDuringOutage({ ...lost, orderedAt: 1_100 }, at(1_800, 1_320))).toEqual({ kind: "wait" });
    expect(decideDuringOutage({ ...lost, orderedAt: 1_100 }, at(1_700, 1_200))).toEqual({
        kind: "refuse",
        retryAfterMs: 550,
    });
});

// Guards against a refusal although the next primary only has to be found, as after a planned change.
test("a request waits while the endpoints are being asked which one leads", () => {
    expect(decideDuringOutage(lost, at(1_500, 1_030))).toEqual({ kind: "wait" });
    expect(decideDuringOutage({ ...lost, lostAt: undefined }, at(1_500, 1_030))).toEqual({ kind: "wait" });
});

// Guards against requests that pile up while a whole data centre is cut off.
test("once the failover should have ended, requests are refused at once", () => {
    expect(decideDuringOutage(lost, at(9_000, 2_200))).toEqual({ kind: "refuse", retryAfterMs: 500 });
});

// Guards against a refusal although an endpoint has announced that it leads, and against one question after the other.
test("a request waits until an endpoint that may lead has been asked, once", () => {
    const found = { ...lost, hasCandidate: true };
    expect(decideDuringOutage(found, at(9_000, 2_200))).toEqual({ kind: "wait" });
    expect(decideDuringOutage(found, at(9_000, 2_270, 70))).toEqual({ kind: "refuse", retryAfterMs: 500 });
});
