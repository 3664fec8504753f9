import type { TokenRequest } from "@medlarledge/protocol";
import { expect, test } from "vitest";
import { ledgerCap, type LimitAccuracy, TokenLedger } from "../src/index.js";

const ACCURACY: LimitAccuracy = { windowMs: 5_000, overrunShare: 0.1, slackOperations: 20 };
const LIMIT = { perSecond: 100, burst: 100 };

function createLedger(hostCount: number) {
    const ledger = new TokenLedger(ACCURACY, 0);
    const view = { limits: new Map([["acme", LIMIT]]), hostCount, hasContact: () => true };
    let sequence = 0;
    const request = (id: string, held: number, waiting: number, now: number, isAutonomous = false) => {
        sequence += 1;
        const needs = [{ customer: "acme", held, waiting, ahead: 0 }];
        const message: TokenRequest = { kind: "tokenRequest", sequence, isAutonomous, isAnswerWanted: true, needs };
        return ledger.requested({ id, incarnation: "1" }, message, now)?.grants[0];
    };
    const run = (from: number, to: number): void => {
        for (let now = from; now <= to; now += 50) {
            ledger.refill(view, now);
        }
    };
    return { ledger, view, request, run };
}

// Guards against hosts that pile up tokens and spend them in one window.
test("hosts together hold no more than the cap, and may get more once they report them as spent", () => {
    const { request, run } = createLedger(2);
    const cap = Math.floor(ledgerCap(LIMIT, ACCURACY));
    request("left", 0, 0, 0);
    request("right", 0, 0, 0);
    run(0, 2_000);
    expect(request("left", 0, 15, 2_000)?.tokens).toBe(15);
    expect(request("right", 0, 15, 2_000)?.tokens).toBe(cap - 15);
    expect(request("left", 0, 15, 2_010)?.tokens).toBe(15);
});

// Guards against a double use of the part of a host that does not reach the leader and uses it itself.
test("the bucket fills by the part of the hosts that are heard and not autonomous", () => {
    const { request, run } = createLedger(4);
    request("a", 0, 0, 0);
    request("b", 0, 0, 0, true);
    run(0, 400);
    // A quarter of 100 a second in 0.4 s.
    expect(request("a", 0, 50, 400)?.tokens).toBe(10);
});

// Guards against tokens for the time in which the leader was suspended and the hosts admitted operations alone.
test("a suspension of the leader fills no bucket", () => {
    const { ledger, view, request } = createLedger(1);
    request("a", 0, 0, 0);
    ledger.refill(view, 0);
    ledger.refill(view, 8_000);
    expect(request("a", 0, 50, 8_000)).toEqual({ customer: "acme", tokens: 10, retryAfterMs: 5 });
});
