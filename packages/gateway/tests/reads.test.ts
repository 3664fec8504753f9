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
test("a read on a primary route runs in a transaction that only the primary begins", async () => {
    const caller = fixture.connect("confirm");
    fixture.endpoints.commitElsewhere();
    const answer = await caller.execute(read("1"));
    expect(answer.completion.kind).toBe("done");
    expect(fixture.endpoints.ran).toMatchObject([{ endpoint: "a", inTransaction: true, requestId: "confirm-1" }]);
    expect(answer.state).toBe("idle");
});

// Guards against a read outside of a transaction on an endpoint that is not the primary any more.
test("a statement is not sent before its begin has succeeded", async () => {
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
test("a read with bounded staleness goes to a replica once a recent enough position of the primary is known", async () => {
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
test("a session's read after its write requires the write's position", async () => {
    const caller = fixture.connect("report");
    await caller.execute(write("1"));
    await caller.execute(read("1"));
    expect(fixture.endpoints.ran.at(-1)?.endpoint).toBe("a");
    fixture.endpoints.replicate();
    await advanceTime(500);
    await caller.execute(read("2"));
    expect(fixture.endpoints.ran.at(-1)?.after).toEqual({ term: 1, number: 1 });
});

// Guards against reads that fail because one replica lags, although the primary can serve them.
test("a read that a replica refuses as lagging is served by the primary", async () => {
    const caller = fixture.connect("stock");
    fixture.endpoints.commitElsewhere();
    await caller.execute(read("1"));
    const answer = await caller.execute(read("2"));
    expect(answer.completion.kind).toBe("done");
    expect(fixture.endpoints.ran.at(-1)?.endpoint).toBe("a");
});

// Guards against reads that wait for a read floor of an earlier term which no log of the new term will ever reach.
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

// Guards against a read that waits for a silent endpoint until its deadline.
test("a read is retried on another endpoint when its endpoint becomes silent", async () => {
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

// Guards against requests that stay unanswered, or get a wrong error code, when no endpoint can be reached.
test("a read that no endpoint can serve is refused as not run within its timeout", async () => {
    const caller = fixture.connect("stock");
    for (const endpoint of fixture.endpoints.endpoints.values()) {
        endpoint.crash();
    }
    const answer = await caller.execute(read("1"));
    expect(answer.completion).toMatchObject({ kind: "error", code: ErrorCode.Busy });
    expect(fixture.endpoints.ran).toEqual([]);
});

// Guards against a success without rows, which comes about when the answer to the read is lost and the answer to the
// following rollback is taken for it.
test("a lost answer is not replaced by the next answer on the connection", async () => {
    const caller = fixture.connect("confirm");
    fixture.endpoints.get("a").losesAnswers = 1;
    const answer = await caller.execute(read("1"));
    expect(answer.completion).toEqual({ kind: "done", signature: "signed by a" });
    expect(answer.rows).toEqual(["row"]);
});

// Guards against reads that wait for lost answers until their callers give up (answer_lost, trouble-3).
test("a read whose answer is overdue is retried on another endpoint before its caller gives up", async () => {
    const caller = fixture.connect("stock");
    await caller.execute(read("1"));
    for (const id of ["b", "c"]) {
        fixture.endpoints.get(id).losesAnswers = 1;
    }
    const startedAt = performance.now();
    expect((await caller.execute(read("2"))).completion.kind).toBe("done");
    expect(performance.now() - startedAt).toBeLessThanOrEqual(400);
});

// Guards against retried reads that double the load of overloaded endpoints.
test("at most a fifth of the reads is retried when all endpoints are slow", async () => {
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

// Guards against reads that fail although another endpoint would serve them (srv_grey: errors although the health check passes).
test("a read that fails is retried on another endpoint, and the next reads avoid the failing one", async () => {
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

// Guards against a failed write that is retried and so runs twice.
test("a write that fails is not retried", async () => {
    fixture.endpoints.get("a").failing = 1;
    const answer = await fixture.connect("confirm").execute(write("1"));
    expect(answer.completion).toMatchObject({ kind: "error", code: ErrorCode.Failed });
    expect(fixture.events.filter(event => event.kind === "retried")).toEqual([]);
});

// Guards against reads that wait until their callers give up while the replicas lag and the queue of the primary does not
// drain (replica_lag on the grown deployments).
test("a read is refused early while more reads arrive than the primary can serve", async () => {
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

// Guards against refusing a session's read although a replica is about to receive the session's own write.
test("a read waits for a replica with little lag while all connections to the primary are in use", async () => {
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
