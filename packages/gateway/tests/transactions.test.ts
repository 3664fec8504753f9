import { ErrorCode } from "@medlarledge/statements";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import {
    advanceTime,
    begin,
    beginReadOnly,
    commit,
    createTestGateway,
    read,
    rollback,
    type TestGateway,
    write,
} from "./test-gateway.js";

let fixture: TestGateway;

beforeEach(() => {
    vi.useFakeTimers();
    fixture = createTestGateway({ share: 2 });
});

afterEach(() => {
    fixture.gateway.close("the test ends");
    vi.useRealTimers();
});

// Guards against statements of one transaction that run on two connections or out of order.
test("a transaction runs on one endpoint from its first statement to its commit", async () => {
    const caller = fixture.connect("confirm");
    expect((await caller.execute(begin)).state).toBe("open");
    expect((await caller.execute(read("1"))).state).toBe("open");
    await caller.execute(write("2"));
    const end = await caller.execute(commit);
    expect(end).toMatchObject({ state: "idle", completion: { kind: "done", signature: "signed by a" } });
    expect(fixture.endpoints.ran.map(ran => [ran.text, ran.inTransaction])).toEqual([
        ["READ 1", true],
        ["WRITE 2 data", true],
        ["COMMIT", true],
    ]);
});

// Guards against read-only transactions that all run on the primary.
test("a read-only transaction may run on a replica that has reached the position", async () => {
    const caller = fixture.connect("stock");
    await caller.execute(read("1"));
    await caller.execute(beginReadOnly);
    await caller.execute(read("2"));
    await caller.execute(commit);
    expect(fixture.endpoints.ran.slice(1).map(ran => ran.endpoint)).not.toContain("a");
    expect(fixture.endpoints.ran.at(-1)?.text).toBe("COMMIT");
});

// Guards against a commit that the proxy acknowledges without an endpoint.
test("an empty transaction is committed by an endpoint", async () => {
    const caller = fixture.connect("confirm");
    await caller.execute(begin);
    expect((await caller.execute(commit)).completion).toEqual({ kind: "done", signature: "signed by a" });
});

// Guards against reporting a transaction with a write as aborted when its commit was not answered: it may be committed.
test("an unanswered commit has an unknown outcome after a write and counts as aborted without one", async () => {
    const caller = fixture.connect("confirm");
    await caller.execute(begin);
    await caller.execute(write("1"));
    fixture.endpoints.get("a").losesAnswers = 1;
    expect((await caller.execute(commit)).completion).toMatchObject({ code: ErrorCode.Unknown });
    await caller.execute(begin);
    await caller.execute(read("2"));
    fixture.endpoints.get("a").losesAnswers = 1;
    expect((await caller.execute(commit)).completion).toMatchObject({ code: ErrorCode.Aborted });
});

// Guards against a transaction that continues although the connection to its endpoint is lost.
test("a transaction whose endpoint is lost is aborted, and only commit or rollback is accepted", async () => {
    const caller = fixture.connect("confirm");
    await caller.execute(begin);
    await caller.execute(write("1"));
    fixture.endpoints.get("a").crash();
    const next = await caller.execute(write("2"));
    expect(next).toMatchObject({ state: "failed", completion: { code: ErrorCode.Aborted } });
    expect((await caller.execute(read("3"))).state).toBe("failed");
    expect(await caller.execute(rollback)).toMatchObject({ state: "idle", completion: { kind: "done" } });
});

// Guards against a first statement that fails the caller's transaction although nothing of it has run yet.
test("the first statement of a transaction is retried when it was refused", async () => {
    const caller = fixture.connect("confirm");
    await caller.execute(begin);
    fixture.endpoints.get("a").busy = 1;
    expect((await caller.execute(read("1"))).state).toBe("open");
    await caller.execute(commit);
});

async function expectFreeConnections(): Promise<void> {
    await advanceTime(1_000);
    const other = fixture.connect("confirm");
    const startedAt = performance.now();
    await Promise.all([other.execute(begin), fixture.connect("confirm").execute(write("free"))]);
    expect((await other.execute(read("free"))).completion.kind).toBe("done");
    expect(performance.now() - startedAt).toBeLessThan(200);
}

// Guards against connections that stay reserved when a caller disconnects during its first statement (trouble-3).
test("a caller that disconnects during the first statement of its transaction frees the connection", async () => {
    for (let round = 0; round < 2; round++) {
        const caller = fixture.connect("confirm");
        await caller.execute(begin);
        fixture.endpoints.get("a").serviceMs = 50;
        void caller.send(read("1"));
        await advanceTime(30);
        caller.leave();
        fixture.endpoints.get("a").serviceMs = 5;
    }
    await expectFreeConnections();
});

// Guards against connections that stay in the transaction of an attempt that was given up (trouble-3).
test("an attempt that was given up leaves no open transaction", async () => {
    const caller = fixture.connect("stock");
    await caller.execute(read("0"));
    await caller.execute(beginReadOnly);
    const used = fixture.endpoints.get(fixture.endpoints.ran.at(-1)?.endpoint ?? "");
    used.isFrozen = true;
    const asked = caller.send(read("1"));
    await advanceTime(700);
    used.isFrozen = false;
    await advanceTime(1_000);
    await asked;
    await caller.execute(rollback);
    await advanceTime(1_000);
    expect(fixture.gateway.groups.get("orders")?.condition().endpoints.map(endpoint => endpoint.transactions)).toEqual([
        0,
        0,
        0,
    ]);
});

// Guards against connections that count against the limit for ever while they wait for the answer to a rollback
// (trouble-3).
test("a connection whose rollback is not answered is closed and can be replaced", async () => {
    for (let round = 0; round < 2; round++) {
        const caller = fixture.connect("confirm");
        await caller.execute(begin);
        await caller.execute(read("1"));
        fixture.endpoints.get("a").losesRollbacks = 1;
        await caller.execute(rollback);
    }
    await expectFreeConnections();
});

// Guards against callers that are idle in transaction and occupy the few connections.
test("a transaction that is idle for too long is rolled back, and its caller gets an error", async () => {
    const caller = fixture.connect("confirm");
    await caller.execute(begin);
    await caller.execute(write("1"));
    await advanceTime(3_200);
    const next = await caller.execute(write("2"));
    expect(next).toMatchObject({ state: "failed", completion: { code: ErrorCode.Aborted } });
    expect((await caller.execute(commit)).completion).toMatchObject({ code: ErrorCode.Aborted });
    await expectFreeConnections();
});

// Guards against orders that wait for connections of idle transactions (idle_tx on the grown deployments).
test("an idle transaction is rolled back when an order waits for its connection", async () => {
    const resting = [fixture.connect("confirm"), fixture.connect("confirm")];
    for (const caller of resting) {
        await caller.execute(begin);
        await caller.execute(write("1"));
    }
    const startedAt = performance.now();
    const answer = await fixture.connect("confirm").execute(write("2"));
    expect(answer.completion.kind).toBe("done");
    expect(performance.now() - startedAt).toBeLessThanOrEqual(260);
    expect(fixture.events.filter(event => event.kind === "aborted")).toHaveLength(1);
    expect((await resting[0]?.execute(write("3")))?.completion).toMatchObject({ code: ErrorCode.Aborted });
    await resting[0]?.execute(rollback);
    expect((await resting[1]?.execute(commit))?.completion.kind).toBe("done");
});

// Guards against rolling back idle transactions whose connections are not needed.
test("an idle transaction stays open while connections are free", async () => {
    const caller = fixture.connect("confirm");
    await caller.execute(begin);
    await caller.execute(write("1"));
    await fixture.connect("confirm").execute(write("2"));
    await advanceTime(1_000);
    expect((await caller.execute(commit)).completion.kind).toBe("done");
});

// Guards against rolling back transactions of active callers because a pool has no free connection.
test("a transaction whose caller keeps sending statements is not rolled back for waiting orders", async () => {
    const busy = [fixture.connect("confirm"), fixture.connect("confirm")];
    for (const caller of busy) {
        await caller.execute(begin);
        await caller.execute(write("1"));
    }
    const waiting = fixture.connect("confirm").send(write("2"));
    for (let step = 0; step < 20; step++) {
        for (const caller of busy) {
            expect((await caller.execute(write("3"))).completion.kind).toBe("done");
        }
        await advanceTime(10);
    }
    for (const caller of busy) {
        expect((await caller.execute(commit)).completion.kind).toBe("done");
    }
    await advanceTime(100);
    expect((await waiting).completion.kind).toBe("done");
});

// Guards against statements that run in the failed transaction of the first attempt.
test("a transaction whose first statement fails is begun again on another endpoint or a clean connection", async () => {
    const caller = fixture.connect("stock");
    await caller.execute(read("1"));
    fixture.endpoints.get(fixture.endpoints.ran.at(-1)?.endpoint ?? "").failing = 1;
    await caller.execute(beginReadOnly);
    expect((await caller.execute(read("2"))).completion.kind).toBe("done");
    expect((await caller.execute(read("3"))).completion.kind).toBe("done");
    expect((await caller.execute(commit)).completion.kind).toBe("done");
    const places = new Set(fixture.endpoints.ran.filter(ran => ran.inTransaction).map(ran => ran.endpoint));
    expect(places.size).toBe(1);
});
