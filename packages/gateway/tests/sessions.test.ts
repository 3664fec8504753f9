import { ErrorCode, type Statement } from "@medlarledge/statements";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { advanceTime, begin, createTestGateway, read, rollback, type TestGateway, write } from "./test-gateway.js";

let fixture: TestGateway;

beforeEach(() => {
    vi.useFakeTimers();
    fixture = createTestGateway({ share: 1 });
});

afterEach(() => {
    fixture.gateway.close("the test ends");
    vi.useRealTimers();
});

const set = (name: string, value: string): Statement => ({ kind: "set", name, value });
const prepare = (name: string, shape: string, writes = false): Statement => ({ kind: "prepare", name, writes, shape });
const execute = (name: string): Statement => ({ kind: "execute", name, parameters: "7" });

// Guards against a statement that runs with the values of another caller.
test("callers that share a connection run with their own values", async () => {
    const left = fixture.connect("confirm");
    const right = fixture.connect("confirm");
    const plain = fixture.connect("confirm");
    await left.execute(set("zone", "1"));
    await right.execute(set("mode", "x"));
    await left.execute(read("l"));
    await right.execute(read("r"));
    await plain.execute(read("p"));
    await left.execute(read("l2"));
    expect(fixture.endpoints.ran.map(ran => ran.values)).toEqual([{ zone: "1" }, { mode: "x" }, {}, { zone: "1" }]);
});

// Guards against a prepared name that stands for another caller's statement.
test("equal names of two callers stand for their own statements", async () => {
    const left = fixture.connect("confirm");
    const right = fixture.connect("confirm");
    await left.execute(prepare("s1", "q-left"));
    await right.execute(prepare("s1", "q-right"));
    await left.execute(execute("s1"));
    await right.execute(execute("s1"));
    await left.execute(execute("s1"));
    expect(fixture.endpoints.ran.map(ran => ran.text)).toEqual(["READ q-left 7", "READ q-right 7", "READ q-left 7"]);
});

// Guards against an execution of a write on a replica, and of a statement that is gone.
test("a prepared write goes to the leader; a deallocated name is unknown", async () => {
    const caller = fixture.connect("stock");
    await caller.execute(prepare("w", "q", true));
    await caller.execute(execute("w"));
    expect(fixture.endpoints.ran[0]).toMatchObject({ endpoint: "a", text: "WRITE q 7" });
    await caller.execute({ kind: "deallocate", name: "w" });
    expect((await caller.execute(execute("w"))).completion).toMatchObject({ code: ErrorCode.UnknownStatement });
});

// Guards against a session under a configuration that names its database no more.
test("a removed route ends with the next transaction, not within one", async () => {
    const caller = fixture.connect("confirm");
    await caller.execute(begin);
    await caller.execute(read("1"));
    fixture.gateway.configure({ number: 2, routes: new Map(), groups: new Map(), transactionIdleMs: 3_000 });
    expect((await caller.execute(read("2"))).completion.kind).toBe("done");
    await caller.execute(rollback);
    expect((await caller.execute(read("3"))).completion).toMatchObject({ code: ErrorCode.UnknownDatabase });
    expect(fixture.gateway.accept(caller)).toEqual({ kind: "unknownDatabase" });
});

// Guards against a configuration that reverts because an older one arrives late.
test("an older configuration changes nothing", () => {
    expect(fixture.gateway.configure({ number: 1, routes: new Map(), groups: new Map(), transactionIdleMs: 1 })).toBe(
        false,
    );
    expect(fixture.gateway.routing.routes.has("confirm")).toBe(true);
});

// Guards against answers that cross when a caller sends several requests without waiting.
test("requests sent in one go are answered in their order", async () => {
    const caller = fixture.connect("confirm");
    await caller.execute(read("0"));
    void caller.send(read("1"));
    void caller.send(write("2"));
    void caller.send({ kind: "malformed", reason: "no such statement" });
    await advanceTime(200);
    expect(fixture.endpoints.ran.map(ran => ran.text)).toEqual(["READ 0", "READ 1", "WRITE 2 data"]);
    expect(caller.answers.map(answer => answer.completion.kind)).toEqual(["done", "done", "done", "error"]);
});

// Guards against a shutdown that closes a caller within its transaction.
test("idle callers are closed at once and others when their transaction ends", async () => {
    const idle = fixture.connect("confirm");
    const busy = fixture.connect("confirm");
    await busy.execute(begin);
    await busy.execute(read("1"));
    fixture.gateway.closeIdleSessions("the host stops");
    expect(idle.isClosed).toBe(true);
    expect(busy.isClosed).toBe(false);
    await busy.execute(rollback);
    await advanceTime(1);
    expect(busy.isClosed).toBe(true);
});
