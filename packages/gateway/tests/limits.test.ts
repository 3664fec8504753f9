import { type Admission, CustomerDirectory } from "@medlarledge/customers";
import { ErrorCode } from "@medlarledge/statements";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { OperationLimits } from "../src/index.js";
import { begin, createTestGateway, read, rollback, type TestGateway, write } from "./test-gateway.js";

/** Admits a number of operations and refuses the others after a wait. */
class FakeLimits implements OperationLimits {
    tokens = 0;

    async admit(): Promise<Admission> {
        await Promise.resolve();
        if (this.tokens === 0) {
            return { kind: "refused", cause: "limit", retryAfterMs: 40 };
        }
        this.tokens -= 1;
        return { kind: "admitted" };
    }

    giveBack(): void {
        this.tokens += 1;
    }
}

let limits: FakeLimits;
let fixture: TestGateway;

beforeEach(() => {
    vi.useFakeTimers();
    limits = new FakeLimits();
    const customer = { name: "acme", weight: 1, limit: { perSecond: 1, burst: 1 } };
    fixture = createTestGateway({ limits, customers: new CustomerDirectory([{ customer, keys: ["k"] }]) });
});

afterEach(() => {
    fixture.gateway.close("the test ends");
    vi.useRealTimers();
});

const refusal = { kind: "error", code: ErrorCode.Busy, text: "not run (limit); retry in 40 ms" };

// Guards against operations beyond the limit that run, and against refusals that do not tell when to return.
test("a statement and a transaction beyond the limit are refused without being run", async () => {
    const caller = fixture.connect("confirm", "k");
    expect((await caller.execute(write("1"))).completion).toEqual(refusal);
    const answer = await caller.execute(begin);
    expect([answer.completion, answer.state]).toEqual([refusal, "idle"]);
    expect(fixture.endpoints.ran).toEqual([]);
    expect(fixture.events.map(({ kind }) => kind)).toContain("notServed");
});

// Guards against a transaction whose statements count as operations each.
test("a transaction spends one token for all of its statements", async () => {
    limits.tokens = 2;
    const caller = fixture.connect("confirm", "k");
    await caller.execute(begin);
    await caller.execute(read("1"));
    await caller.execute(read("2"));
    await caller.execute(rollback);
    expect(limits.tokens).toBe(1);
    expect((await caller.execute(read("3"))).completion.kind).toBe("done");
    expect(limits.tokens).toBe(0);
});

// Guards against statements that run for a caller that left while the admission was outstanding.
test("an operation of a caller that left during the wait does not run, and its token is given back", async () => {
    limits.tokens = 1;
    const caller = fixture.connect("confirm", "k");
    void caller.send(write("1"));
    caller.leave();
    await vi.advanceTimersByTimeAsync(100);
    expect([fixture.endpoints.ran, limits.tokens]).toEqual([[], 1]);
});
