import { ErrorCode } from "@medlarledge/statements";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { advanceTime, createTestGateway, type TestGateway, write } from "./test-gateway.js";

let fixture: TestGateway;

beforeEach(() => {
    vi.useFakeTimers();
    fixture = createTestGateway();
});

afterEach(() => {
    fixture.gateway.close("the test ends");
    vi.useRealTimers();
});

// Guards against a write that the proxy answers without running it, or runs in a transaction of its own.
test("a write runs once, on the primary, outside of a transaction", async () => {
    const answer = await fixture.connect("confirm").execute(write("1"));
    expect(answer.completion).toEqual({ kind: "done", signature: "signed by a" });
    expect(fixture.endpoints.ran).toMatchObject([{ endpoint: "a", text: "WRITE 1 data", inTransaction: false }]);
});

// Guards against a write that runs twice because its answer was lost.
test("a write without an answer has an unknown outcome and is not retried", async () => {
    const caller = fixture.connect("confirm");
    await caller.execute(write("1"));
    fixture.endpoints.get("a").losesAnswers = 1;
    const answer = await caller.execute(write("2"));
    expect(answer.completion).toMatchObject({ kind: "error", code: ErrorCode.Unknown });
    expect(fixture.endpoints.ran.filter(ran => ran.text.startsWith("WRITE 2"))).toHaveLength(1);
});

// Guards against reporting a write as not run when its connection breaks after the write was sent.
test("the outcome of a write whose connection broke is reported as unknown at once", async () => {
    const caller = fixture.connect("confirm");
    await caller.execute(write("1"));
    fixture.endpoints.get("a").serviceMs = 300;
    const asked = caller.send(write("2"));
    await advanceTime(50);
    const startedAt = performance.now();
    fixture.endpoints.get("a").crash();
    await advanceTime(5);
    expect((await asked).completion).toMatchObject({ kind: "error", code: ErrorCode.Unknown });
    expect(performance.now() - startedAt).toBeLessThan(10);
});

// Guards against callers that have to retry although a write that was refused can run a moment later.
test("a write that was refused as busy is retried", async () => {
    const caller = fixture.connect("confirm");
    await caller.execute(write("1"));
    fixture.endpoints.get("a").busy = 2;
    expect((await caller.execute(write("2"))).completion.kind).toBe("done");
    expect(fixture.endpoints.ran.filter(ran => ran.text.startsWith("WRITE 2"))).toHaveLength(1);
});

// Guards against refusing a write although the promotion ends before its wait limit, and against waiting although it
// cannot.
test("a write waits for the endpoint that is being promoted when that can be in time, and is refused at once otherwise", async () => {
    const caller = fixture.connect("confirm");
    await caller.execute(write("1"));
    fixture.endpoints.get("a").crash();
    // Long enough to detect that the endpoint refuses connections.
    await advanceTime(250);
    const startedAt = performance.now();
    const early = await caller.execute(write("2"));
    expect(early.completion).toMatchObject({ kind: "error", code: ErrorCode.Busy });
    expect(early.completion).toHaveProperty("text", expect.stringContaining("retry in"));
    expect(performance.now() - startedAt).toBeLessThan(20);
    fixture.gateway.ordered({ group: "orders", endpoint: "b", fence: 7 });
    await advanceTime(400);
    const asked = caller.send(write("3"));
    await advanceTime(200);
    fixture.endpoints.promote("b");
    await advanceTime(100);
    expect((await asked).completion).toEqual({ kind: "done", signature: "signed by b" });
});

// Guards against callers that wait for an ordered promotion although the former primary still serves.
test("the former primary serves until the promotion is complete", async () => {
    const caller = fixture.connect("confirm");
    await caller.execute(write("1"));
    fixture.gateway.ordered({ group: "orders", endpoint: "b", fence: 7 });
    await caller.execute(write("2"));
    expect(fixture.endpoints.ran.at(-1)?.endpoint).toBe("a");
    fixture.endpoints.promote("b");
    expect((await caller.execute(write("3"))).completion.kind).toBe("done");
    expect(fixture.endpoints.ran.at(-1)?.endpoint).toBe("b");
});

// Guards against orders that wait for connections whose answers are lost until these time out (answer_lost on a primary,
// trouble-3).
test("connections that wait for overdue answers are replaced while orders wait", async () => {
    const narrow = createTestGateway({ share: 1, endpoints: fixture.endpoints, host: "narrow" });
    await advanceTime(50);
    fixture.endpoints.get("a").losesAnswers = 1;
    const lost = narrow.connect("confirm").send(write("1"));
    await advanceTime(20);
    const startedAt = performance.now();
    expect((await narrow.connect("confirm").execute(write("2"))).completion.kind).toBe("done");
    expect(performance.now() - startedAt).toBeLessThanOrEqual(260);
    await advanceTime(800);
    expect((await lost).completion).toMatchObject({ code: ErrorCode.Unknown });
    narrow.gateway.close("the test ends");
});

// Guards against orders that wait in a queue until it is too late to run them (burst on the grown deployments).
test("orders that would wait too long for a connection are refused at once, the others are served", async () => {
    fixture.endpoints.get("a").serviceMs = 50;
    const narrow = createTestGateway({ share: 1, endpoints: fixture.endpoints, host: "narrow" });
    for (let round = 0; round < 20; round++) {
        await narrow.connect("confirm").execute(write("0"));
    }
    const answers = Array.from({ length: 40 }, () => narrow.connect("confirm").send(write("1")));
    let early = 0;
    answers.forEach(answer => void answer.then(({ completion }) => (early += completion.kind === "error" ? 1 : 0)));
    await advanceTime(5);
    expect(early).toBeGreaterThanOrEqual(25);
    await advanceTime(1_000);
    const completions = (await Promise.all(answers)).map(answer => answer.completion.kind);
    expect(completions.filter(kind => kind === "done").length).toBeGreaterThanOrEqual(8);
    expect(early).toBe(completions.filter(kind => kind === "error").length);
    narrow.gateway.close("the test ends");
});
