import { expect, test } from "vitest";
import { type Admission, type LimitAccuracy, TokenHolder } from "../src/index.js";

const ACCURACY: LimitAccuracy = { windowMs: 5_000, overrunShare: 0.1, slackOperations: 20 };
const LIMIT = { perSecond: 100, burst: 100 };

function createHolder() {
    const holder = new TokenHolder(ACCURACY, () => ({ hostCount: 2, rank: () => 0 }));
    const admissions: Admission[] = [];
    const admit = (now: number): void => {
        holder.admit("acme", LIMIT, now, admission => admissions.push(admission));
    };
    const grant = (sequence: number, tokens: number, now: number, retryAfterMs?: number): void =>
        holder.granted({ kind: "tokenGrant", sequence, grants: [{ customer: "acme", tokens, retryAfterMs }] }, now);
    return { holder, admissions, admit, grant };
}

// Guards against operations that wait for their deadline although the leader has said that there are no tokens.
test("an answer without tokens refuses what waits, and what comes until the stated time", () => {
    const { holder, admissions, admit, grant } = createHolder();
    admit(0);
    admit(0);
    expect(holder.takeRequest(0)?.needs).toEqual([{ customer: "acme", held: 0, waiting: 2, ahead: 0 }]);
    grant(1, 1, 5, 80);
    admit(50);
    expect(admissions).toEqual([
        { kind: "admitted" },
        { kind: "refused", cause: "limit", retryAfterMs: 80 },
        { kind: "refused", cause: "limit", retryAfterMs: 35 },
    ]);
});

// Guards against tokens that are counted twice: the leader takes those of a late grant as never received.
test("a grant that answers an earlier request is void", () => {
    const { holder, admissions, admit, grant } = createHolder();
    admit(0);
    expect(holder.takeRequest(0)?.sequence).toBe(1);
    expect(holder.takeRequest(100)).toBeUndefined();
    expect(holder.takeRequest(200)?.sequence).toBe(2);
    grant(1, 1, 210);
    expect(admissions).toEqual([]);
    grant(2, 1, 220);
    expect(admissions).toEqual([{ kind: "admitted" }]);
});

// Guards against a suspended host that spends tokens which the leader has forgotten.
test("tokens expire with the time of their request", () => {
    const { holder, admissions, admit, grant } = createHolder();
    admit(0);
    holder.takeRequest(0);
    grant(1, 5, 10);
    admit(1_001);
    expect(admissions).toHaveLength(1);
    expect(holder.takeRequest(1_001)?.needs[0]?.held).toBe(0);
});

// Guards against a token of an operation that did not run which returns after it was reported as spent.
test("a token is given back only until it was reported as spent", () => {
    const { holder, admit, grant } = createHolder();
    admit(0);
    holder.takeRequest(0);
    grant(1, 1, 10);
    holder.giveBack("acme", 11);
    admit(12);
    expect(holder.takeRequest(62)?.needs).toEqual([]);
    holder.giveBack("acme", 63);
    admit(64);
    expect(holder.takeRequest(90)?.needs).toEqual([{ customer: "acme", held: 0, waiting: 1, ahead: 0 }]);
});

// Guards against a cut host that refuses all, or that uses more than its part of the limit.
test("without answers a host admits operations by its part of the limit after a while", () => {
    const { holder, admissions, admit } = createHolder();
    for (let now = 0; now < 2_600; now += 10) {
        admit(now);
        holder.takeRequest(now);
    }
    const admitted = admissions.filter(({ kind }) => kind === "admitted").length;
    // 50 a second, from 0.6 s on.
    expect(admitted).toBeGreaterThan(95);
    expect(admitted).toBeLessThanOrEqual(100);
});
