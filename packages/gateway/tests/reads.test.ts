import { ErrorCode } from "@medlarledge/statements";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { pass, read, type World, world, write } from "./world.js";

let it: World;

beforeEach(() => {
    vi.useFakeTimers();
    it = world();
});

afterEach(() => {
    it.gateway.close("the test ends");
    vi.useRealTimers();
});

// Guards against a read that misses a commit acknowledged through another entry host.
test("a read on a primary route runs in a transaction that only the leader begins", async () => {
    const caller = it.connect("confirm");
    it.endpoints.commitElsewhere();
    const answer = await caller.ask(read("1"));
    expect(answer.completion.kind).toBe("done");
    expect(it.endpoints.ran).toMatchObject([{ endpoint: "a", inTransaction: true, requestId: "confirm-1" }]);
    expect(answer.state).toBe("idle");
});

// Guards against a read outside of any transaction on an endpoint that has just lost the lead.
test("the statement is not sent behind a begin that may be refused", async () => {
    const caller = it.connect("confirm");
    await caller.ask(read("1"));
    it.endpoints.promote("b");
    const answer = await caller.ask(read("2"));
    expect(answer.completion.kind).toBe("error");
    expect(it.endpoints.ran.filter(ran => ran.text === "READ 2")).toEqual([]);
    it.announce();
    expect((await caller.ask(read("3"))).completion.kind).toBe("done");
    expect(it.endpoints.ran.at(-1)?.endpoint).toBe("b");
});

// Guards against reads of unknown age on replicas, and against replicas that serve nothing.
test("a bounded read goes to a replica once a position of the leader within the age is known", async () => {
    const caller = it.connect("stock");
    await caller.ask(read("1"));
    const first = it.endpoints.ran[0];
    expect(first?.endpoint).not.toBe("a");
    expect(first?.after).toEqual({ term: 1, number: 0 });
    await pass(1_600);
    await caller.ask(read("2"));
    expect(it.endpoints.ran[1]).toMatchObject({ endpoint: "a", inTransaction: true });
});

// Guards against a session that does not see its own write on a replica that is behind.
test("a session's read after its write demands the write's position", async () => {
    const caller = it.connect("report");
    await caller.ask(write("1"));
    await caller.ask(read("1"));
    expect(it.endpoints.ran.at(-1)?.endpoint).toBe("a");
    it.endpoints.replicate();
    await pass(500);
    await caller.ask(read("2"));
    expect(it.endpoints.ran.at(-1)?.after).toEqual({ term: 1, number: 1 });
});

// Guards against reads that fail because one replica lags, although the leader can serve them.
test("a read that a replica refuses as lagging is served by the leader", async () => {
    const caller = it.connect("stock");
    it.endpoints.commitElsewhere();
    await caller.ask(read("1"));
    const answer = await caller.ask(read("2"));
    expect(answer.completion.kind).toBe("done");
    expect(it.endpoints.ran.at(-1)?.endpoint).toBe("a");
});

// Guards against a floor of a former term that no log of the new term will ever reach.
test("a session's floor that a promotion rolled back does not block its reads", async () => {
    const caller = it.connect("report");
    await caller.ask(write("1"));
    it.endpoints.get("a").crash();
    it.endpoints.promote("b");
    it.announce();
    it.endpoints.get("b").applied = { term: 2, number: 0 };
    const other = it.connect("confirm");
    await other.ask(read("x"));
    const answer = await caller.ask(read("2"));
    expect(answer.completion.kind).toBe("done");
});

// Guards against a read that waits for its whole deadline on an endpoint that has gone silent.
test("a read is tried elsewhere when its endpoint falls silent", async () => {
    const caller = it.connect("stock");
    await caller.ask(read("1"));
    await caller.ask(read("2"));
    const first = it.endpoints.ran.at(-1)?.endpoint ?? "";
    it.endpoints.get(first).isSilent = true;
    const startedAt = performance.now();
    const answer = await caller.ask(read("3"));
    expect(answer.completion.kind).toBe("done");
    expect(performance.now() - startedAt).toBeLessThan(600);
    expect(it.endpoints.ran.at(-1)?.endpoint).not.toBe(first);
});

// Guards against a caller that is told nothing when no endpoint can be reached, and against a false outcome.
test("a read that no endpoint can serve is refused as not run within its timeout", async () => {
    const caller = it.connect("stock");
    for (const endpoint of it.endpoints.endpoints.values()) {
        endpoint.crash();
    }
    const answer = await caller.ask(read("1"));
    expect(answer.completion).toMatchObject({ kind: "error", code: ErrorCode.Busy });
    expect(it.endpoints.ran).toEqual([]);
});

// Guards against a success without rows: the answer to the rollback behind a lost answer is not that of the read.
test("an answer that was lost is not replaced by the next one on the connection", async () => {
    const caller = it.connect("confirm");
    it.endpoints.get("a").losesAnswers = 1;
    const answer = await caller.ask(read("1"));
    expect(answer.completion).toEqual({ kind: "done", signature: "signed by a" });
    expect(answer.rows).toEqual(["row"]);
});

// Guards against reads that wait for lost answers until their callers give up (answer_lost, trouble-3).
test("a read whose answer does not come is tried elsewhere while its caller still waits", async () => {
    const caller = it.connect("stock");
    await caller.ask(read("1"));
    for (const id of ["b", "c"]) {
        it.endpoints.get(id).losesAnswers = 1;
    }
    const startedAt = performance.now();
    expect((await caller.ask(read("2"))).completion.kind).toBe("done");
    expect(performance.now() - startedAt).toBeLessThanOrEqual(400);
});

// Guards against repeated reads that double the load of endpoints which are slow because they have too much.
test("at most a fifth of the reads is repeated when all endpoints are slow", async () => {
    for (const endpoint of it.endpoints.endpoints.values()) {
        endpoint.serviceMs = 400;
    }
    const callers = Array.from({ length: 20 }, () => it.connect("stock"));
    const answers = callers.map(caller => caller.send(read("1")));
    await pass(1_300);
    await Promise.all(answers);
    const repeated = it.events.filter(event => event.kind === "retried" && event.cause === "overdue");
    expect(repeated.length).toBeLessThanOrEqual(4);
});

// Guards against reads that fail although another endpoint would serve them (srv_grey: errors with a good health check).
test("a read that its endpoint fails is tried elsewhere, and the next reads avoid that endpoint", async () => {
    const caller = it.connect("stock");
    await caller.ask(read("1"));
    const first = it.endpoints.ran.at(-1)?.endpoint ?? "";
    it.endpoints.get(first).failing = 100;
    const answers = [];
    for (let round = 0; round < 20; round++) {
        answers.push(await caller.ask(read("2")));
    }
    expect(answers.filter(answer => answer.completion.kind !== "done")).toEqual([]);
    expect(it.events.filter(event => event.kind === "retried").length).toBeLessThanOrEqual(3);
});

// Guards against writes that run twice, because a failed one was repeated.
test("a write that its endpoint fails is not repeated", async () => {
    it.endpoints.get("a").failing = 1;
    const answer = await it.connect("confirm").ask(write("1"));
    expect(answer.completion).toMatchObject({ kind: "error", code: ErrorCode.Failed });
    expect(it.events.filter(event => event.kind === "retried")).toEqual([]);
});

// Guards against callers that are held until they give up, although the leader's queue stands and its replicas lag
// (replica_lag on the grown deployments).
test("a read is refused early while more reads arrive than the leader can serve", async () => {
    it.gateway.close("the test has a world of its own");
    it = world({ share: 2 });
    await it.connect("confirm").ask(read("1"));
    it.endpoints.get("a").serviceMs = 100;
    it.endpoints.commitElsewhere();
    for (let number = 0; number < 200; number++) {
        it.endpoints.commitElsewhere();
    }
    const refusedMs: number[] = [];
    const callers = Array.from({ length: 30 }, () => it.connect("stock"));
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
        await pass(10);
    }
    await Promise.all(loops);
    expect(refusedMs.length).toBeGreaterThan(20);
    expect(Math.max(...refusedMs)).toBeLessThan(400);
});

// Guards against a refusal of a session's read although a replica is about to hold the session's own write.
test("a read waits for a replica that follows closely while the leader's connections are taken", async () => {
    it.gateway.close("the test has a world of its own");
    it = world({ share: 1 });
    const caller = it.connect("report");
    await caller.ask(write("1"));
    await caller.ask(read("1"));
    it.endpoints.get("a").serviceMs = 60;
    for (let number = 0; number < 30; number++) {
        void it.connect("report").send(write("2"));
    }
    await pass(220);
    const startedAt = performance.now();
    const answer = caller.send(read("1"));
    await pass(30);
    it.endpoints.replicate();
    await pass(300);
    expect((await answer).completion.kind).toBe("done");
    expect(it.endpoints.ran.find(ran => ran.requestId === "report-3")?.endpoint).not.toBe("a");
    expect(performance.now() - startedAt).toBeLessThanOrEqual(400);
});

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
