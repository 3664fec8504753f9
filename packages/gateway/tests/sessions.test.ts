import { ErrorCode, type Statement } from "@medlarledge/statements";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { begin, pass, read, rollback, type World, world, write } from "./world.js";

let it: World;

beforeEach(() => {
    vi.useFakeTimers();
    it = world({ share: 1 });
});

afterEach(() => {
    it.gateway.close("the test ends");
    vi.useRealTimers();
});

const set = (name: string, value: string): Statement => ({ kind: "set", name, value });
const prepare = (name: string, shape: string, writes = false): Statement => ({ kind: "prepare", name, writes, shape });
const execute = (name: string): Statement => ({ kind: "execute", name, parameters: "7" });

// Guards against a statement that runs with the values of another caller.
test("callers that share a connection run with their own values", async () => {
    const left = it.connect("confirm");
    const right = it.connect("confirm");
    const plain = it.connect("confirm");
    await left.ask(set("zone", "1"));
    await right.ask(set("mode", "x"));
    await left.ask(read("l"));
    await right.ask(read("r"));
    await plain.ask(read("p"));
    await left.ask(read("l2"));
    expect(it.endpoints.ran.map(ran => ran.values)).toEqual([{ zone: "1" }, { mode: "x" }, {}, { zone: "1" }]);
});

// Guards against a prepared name that stands for another caller's statement.
test("equal names of two callers stand for their own statements", async () => {
    const left = it.connect("confirm");
    const right = it.connect("confirm");
    await left.ask(prepare("s1", "q-left"));
    await right.ask(prepare("s1", "q-right"));
    await left.ask(execute("s1"));
    await right.ask(execute("s1"));
    await left.ask(execute("s1"));
    expect(it.endpoints.ran.map(ran => ran.text)).toEqual(["READ q-left 7", "READ q-right 7", "READ q-left 7"]);
});

// Guards against an execution of a write on a replica, and of a statement that is gone.
test("a prepared write goes to the leader; a deallocated name is unknown", async () => {
    const caller = it.connect("stock");
    await caller.ask(prepare("w", "q", true));
    await caller.ask(execute("w"));
    expect(it.endpoints.ran[0]).toMatchObject({ endpoint: "a", text: "WRITE q 7" });
    await caller.ask({ kind: "deallocate", name: "w" });
    expect((await caller.ask(execute("w"))).completion).toMatchObject({ code: ErrorCode.UnknownStatement });
});

// Guards against a session under a configuration that names its database no more.
test("a removed route ends with the next transaction, not within one", async () => {
    const caller = it.connect("confirm");
    await caller.ask(begin);
    await caller.ask(read("1"));
    it.gateway.configure({ number: 2, routes: new Map(), groups: new Map(), transactionIdleMs: 3_000 });
    expect((await caller.ask(read("2"))).completion.kind).toBe("done");
    await caller.ask(rollback);
    expect((await caller.ask(read("3"))).completion).toMatchObject({ code: ErrorCode.UnknownDatabase });
    expect(it.gateway.accept(caller)).toEqual({ kind: "unknownDatabase" });
});

// Guards against a configuration that reverts because an older one arrives late.
test("an older configuration changes nothing", () => {
    expect(it.gateway.configure({ number: 1, routes: new Map(), groups: new Map(), transactionIdleMs: 1 })).toBe(false);
    expect(it.gateway.routing.routes.has("confirm")).toBe(true);
});

// Guards against answers that cross when a caller sends several requests without waiting.
test("requests sent in one go are answered in their order", async () => {
    const caller = it.connect("confirm");
    await caller.ask(read("0"));
    void caller.send(read("1"));
    void caller.send(write("2"));
    void caller.send({ kind: "malformed", reason: "no such statement" });
    await pass(200);
    expect(it.endpoints.ran.map(ran => ran.text)).toEqual(["READ 0", "READ 1", "WRITE 2 data"]);
    expect(caller.answers.map(answer => answer.completion.kind)).toEqual(["done", "done", "done", "error"]);
});

// Guards against a shutdown that closes a caller within its transaction.
test("idle callers are closed at once and others when their transaction ends", async () => {
    const idle = it.connect("confirm");
    const busy = it.connect("confirm");
    await busy.ask(begin);
    await busy.ask(read("1"));
    it.gateway.closeIdleSessions("the host stops");
    expect(idle.isClosed).toBe(true);
    expect(busy.isClosed).toBe(false);
    await busy.ask(rollback);
    await pass(1);
    expect(busy.isClosed).toBe(true);
});
