import { ErrorCode } from "@medlarledge/statements";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { advanceTime, createTestGateway, read, type TestGateway, write } from "./test-gateway.js";

let fixture: TestGateway;

beforeEach(() => {
    vi.useFakeTimers();
    fixture = createTestGateway();
});

afterEach(() => {
    fixture.gateway.close("the test ends");
    vi.useRealTimers();
});

// Guards against a read that misses a commit acknowledged through another entry host.
test("a read on a primary route runs in a transaction that only the leader begins", async () => {
    const caller = fixture.connect("confirm");
    fixture.endpoints.commitElsewhere();
    const answer = await caller.execute(read("1"));
    expect(answer.completion.kind).toBe("done");
    expect(fixture.endpoints.ran).toMatchObject([{ endpoint: "a", inTransaction: true, requestId: "confirm-1" }]);
    expect(answer.state).toBe("idle");
});

// Guards against a read outside of any transaction on an endpoint that has just lost the lead.
test("the statement is not sent behind a begin that may be refused", async () => {
    const caller = fixture.connect("confirm");
    await caller.execute(read("1"));
    fixture.endpoints.promote("b");
    const answer = await caller.execute(read("2"));
    expect(answer.completion.kind).toBe("error");
    expect(fixture.endpoints.ran.filter(ran => ran.text === "READ 2")).toEqual([]);
    fixture.announce();
    expect((await caller.execute(read("3"))).completion.kind).toBe("done");
    expect(fixture.endpoints.ran.at(-1)?.endpoint).toBe("b");
});

// Guards against reads of unknown age on replicas, and against replicas that serve nothing.
test("a bounded read goes to a replica once a position of the leader within the age is known", async () => {
    const caller = fixture.connect("stock");
    await caller.execute(read("1"));
    const first = fixture.endpoints.ran[0];
    expect(first?.endpoint).not.toBe("a");
    expect(first?.after).toEqual({ term: 1, number: 0 });
    await advanceTime(1_600);
    await caller.execute(read("2"));
    expect(fixture.endpoints.ran[1]).toMatchObject({ endpoint: "a", inTransaction: true });
});

// Guards against a session that does not see its own write on a replica that is behind.
test("a session's read after its write demands the write's position", async () => {
    const caller = fixture.connect("report");
    await caller.execute(write("1"));
    await caller.execute(read("1"));
    expect(fixture.endpoints.ran.at(-1)?.endpoint).toBe("a");
    fixture.endpoints.replicate();
    await advanceTime(500);
    await caller.execute(read("2"));
    expect(fixture.endpoints.ran.at(-1)?.after).toEqual({ term: 1, number: 1 });
});

// Guards against reads that fail because one replica lags, although the leader can serve them.
test("a read that a replica refuses as lagging is served by the leader", async () => {
    const caller = fixture.connect("stock");
    fixture.endpoints.commitElsewhere();
    await caller.execute(read("1"));
    const answer = await caller.execute(read("2"));
    expect(answer.completion.kind).toBe("done");
    expect(fixture.endpoints.ran.at(-1)?.endpoint).toBe("a");
});

// Guards against a floor of a former term that no log of the new term will ever reach.
test("a session's floor that a promotion rolled back does not block its reads", async () => {
    const caller = fixture.connect("report");
    await caller.execute(write("1"));
    fixture.endpoints.get("a").crash();
    fixture.endpoints.promote("b");
    fixture.announce();
    fixture.endpoints.get("b").applied = { term: 2, number: 0 };
    const other = fixture.connect("confirm");
    await other.execute(read("x"));
    const answer = await caller.execute(read("2"));
    expect(answer.completion.kind).toBe("done");
});

// Guards against a read that waits for its whole deadline on an endpoint that has gone silent.
test("a read is tried elsewhere when its endpoint falls silent", async () => {
    const caller = fixture.connect("stock");
    await caller.execute(read("1"));
    await caller.execute(read("2"));
    const first = fixture.endpoints.ran.at(-1)?.endpoint ?? "";
    fixture.endpoints.get(first).isSilent = true;
    const startedAt = performance.now();
    const answer = await caller.execute(read("3"));
    expect(answer.completion.kind).toBe("done");
    expect(performance.now() - startedAt).toBeLessThan(600);
    expect(fixture.endpoints.ran.at(-1)?.endpoint).not.toBe(first);
});

// Guards against a caller that is told nothing when no endpoint can be reached, and against a false outcome.
test("a read that no endpoint can serve is refused as not run within its timeout", async () => {
    const caller = fixture.connect("stock");
    for (const endpoint of fixture.endpoints.endpoints.values()) {
        endpoint.crash();
    }
    const answer = await caller.execute(read("1"));
    expect(answer.completion).toMatchObject({ kind: "error", code: ErrorCode.Busy });
    expect(fixture.endpoints.ran).toEqual([]);
});

// Guards against a success without rows: the answer to the rollback behind a lost answer is not that of the read.
test("an answer that was lost is not replaced by the next one on the connection", async () => {
    const caller = fixture.connect("confirm");
    fixture.endpoints.get("a").losesAnswers = 1;
    const answer = await caller.execute(read("1"));
    expect(answer.completion).toEqual({ kind: "done", signature: "signed by a" });
    expect(answer.rows).toEqual(["row"]);
});

// Guards against reads that wait for lost answers until their callers give up (answer_lost, trouble-3).
test("a read whose answer does not come is tried elsewhere while its caller still waits", async () => {
    const caller = fixture.connect("stock");
    await caller.execute(read("1"));
    for (const id of ["b", "c"]) {
        fixture.endpoints.get(id).losesAnswers = 1;
    }
    const startedAt = performance.now();
    expect((await caller.execute(read("2"))).completion.kind).toBe("done");
    expect(performance.now() - startedAt).toBeLessThanOrEqual(400);
});

// Guards against repeated reads that double the load of endpoints which are slow because they have too much.
test("at most a fifth of the reads is repeated when all endpoints are slow", async () => {
    for (const endpoint of fixture.endpoints.endpoints.values()) {
        endpoint.serviceMs = 400;
    }
    const callers = Array.from({ length: 20 }, () => fixture.connect("stock"));
    const answers = callers.map(caller => caller.send(read("1")));
    await advanceTime(1_300);
    await Promise.all(answers);
    const repeated = fixture.events.filter(event => event.kind === "retried" && event.cause === "overdue");
    expect(repeated.length).toBeLessThanOrEqual(4);
});

// Guards against reads that fail although another endpoint would serve them (srv_grey: errors with a good health check).
test("a read that its endpoint fails is tried elsewhere, and the next reads avoid that endpoint", async () => {
    const caller = fixture.connect("stock");
    await caller.execute(read("1"));
    const first = fixture.endpoints.ran.at(-1)?.endpoint ?? "";
    fixture.endpoints.get(first).failing = 100;
    const answers = [];
    for (let round = 0; round < 20; round++) {
        answers.push(await caller.execute(read("2")));
    }
    expect(answers.filter(answer => answer.completion.kind !== "done")).toEqual([]);
    expect(fixture.events.filter(event => event.kind === "retried").length).toBeLessThanOrEqual(3);
});

// Guards against writes that run twice, because a failed one was repeated.
test("a write that its endpoint fails is not repeated", async () => {
    fixture.endpoints.get("a").failing = 1;
    const answer = await fixture.connect("confirm").execute(write("1"));
    expect(answer.completion).toMatchObject({ kind: "error", code: ErrorCode.Failed });
    expect(fixture.events.filter(event => event.kind === "retried")).toEqual([]);
});

// Guards against callers that are held until they give up, although the leader's queue stands and its replicas lag
// (replica_lag on the grown deployments).
test("a read is refused early while more reads arrive than the leader can serve", async () => {
    fixture.gateway.close("the test has a world of its own");
    fixture = createTestGateway({ share: 2 });
    await fixture.connect("confirm").execute(read("1"));
    fixture.endpoints.get("a").serviceMs = 100;
    fixture.endpoints.commitElsewhere();
    for (let number = 0; number < 200; number++) {
        fixture.endpoints.commitElsewhere();
    }
    const refusedMs: number[] = [];
    const callers = Array.from({ length: 30 }, () => fixture.connect("stock"));
    const endsAt = performance.now() + 4_000;
    const loops = callers.map(async (caller, index) => {
        await pause(index * 10);
        while (performance.now() < endsAt) {
            const startedAt = performance.now();
            const answer = await caller.send(read("1"));
            if (answer.completion.kind === "error" && startedAt > endsAt - 2_000) {
                refusedMs.push(performance.now() - startedAt);
            }
            await pause(200);
        }
    });
    for (let step = 0; step < 600; step++) {
        await advanceTime(10);
    }
    await Promise.all(loops);
    expect(refusedMs.length).toBeGreaterThan(20);
    expect(Math.max(...refusedMs)).toBeLessThan(400);
});

// Guards against a refusal of a session's read although a replica is about to hold the session's own write.
test("a read waits for a replica that follows closely while the leader's connections are taken", async () => {
    fixture.gateway.close("the test has a world of its own");
    fixture = createTestGateway({ share: 1 });
    const caller = fixture.connect("report");
    await caller.execute(write("1"));
    await caller.execute(read("1"));
    fixture.endpoints.get("a").serviceMs = 60;
    for (let number = 0; number < 30; number++) {
        void fixture.connect("report").send(write("2"));
    }
    await advanceTime(220);
    const startedAt = performance.now();
    const answer = caller.send(read("1"));
    await advanceTime(30);
    fixture.endpoints.replicate();
    await advanceTime(300);
    expect((await answer).completion.kind).toBe("done");
    expect(fixture.endpoints.ran.find(ran => ran.requestId === "report-3")?.endpoint).not.toBe("a");
    expect(performance.now() - startedAt).toBeLessThanOrEqual(400);
});

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
