import { CustomerDirectory } from "@medlarledge/customers";
import { ErrorCode } from "@medlarledge/statements";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { Routing } from "../src/index.js";
import {
    advanceTime,
    begin,
    commit,
    createTestGateway,
    read,
    TestCaller,
    type TestGateway,
    write,
} from "./test-gateway.js";

let fixture: TestGateway;
let acceptsKeys: boolean;

beforeEach(() => {
    vi.useFakeTimers();
    acceptsKeys = true;
    fixture = createTestGateway({ acceptsKeys: () => acceptsKeys });
    configure({ mill: ["k1"], port: ["k2"] });
});

afterEach(() => {
    fixture.gateway.close("the test ends");
    vi.useRealTimers();
});

/** Puts a configuration with the given keys by customer in force; the database `stock` is public. */
function configure(keys: Readonly<Record<string, readonly string[]>>): void {
    const { routing } = fixture.gateway;
    const routes: Routing["routes"] = new Map(
        [...routing.routes].map(([name, route]) => [name, { ...route, isPublic: name === "stock" }]),
    );
    const customers = new CustomerDirectory(
        Object.entries(keys).map(([name, owned]) => ({ customer: { name, weight: 1, limit: undefined }, keys: owned })),
    );
    fixture.gateway.configure({ ...routing, number: routing.number + 1, routes, customers });
}

function connect(database: string, key?: string): TestCaller {
    const caller = new TestCaller(database, key);
    const acceptance = fixture.gateway.accept(caller);
    caller.handler = acceptance.kind === "accepted" ? acceptance.handler : undefined;
    return caller;
}

const texts = () => fixture.endpoints.ran.map(ran => ran.text);

// Guards against a caller that runs requests with no key or with one that no configuration holds.
test("a caller without a valid key is not accepted on a database that is not public", () => {
    expect(fixture.gateway.accept(new TestCaller("confirm"))).toEqual({ kind: "notAuthorized" });
    expect(fixture.gateway.accept(new TestCaller("confirm", "k3"))).toEqual({ kind: "notAuthorized" });
    expect(fixture.gateway.accept(new TestCaller("confirm", "k1")).kind).toBe("accepted");
    expect(fixture.gateway.accept(new TestCaller("stock")).kind).toBe("accepted");
});

// Guards against an idle session that outlives its key, and against ending the sessions of other keys.
test("idle sessions of a revoked key are closed at once", () => {
    const revoked = connect("confirm", "k1");
    const others = [connect("confirm", "k2"), connect("stock", "k1")];
    configure({ port: ["k2"] });
    expect(revoked.isClosed).toBe(true);
    expect(others.map(caller => caller.isClosed)).toEqual([false, false]);
    expect(fixture.events).toContainEqual({ kind: "keysRevoked", configuration: 3, closed: 1, rolledBack: 0 });
});

// Guards against an open transaction that goes on, or commits, after its key was revoked.
test.each([["statement", write("2")], ["commit", commit]])(
    "a transaction of a revoked key is rolled back; its next %s is refused and ends the session",
    async (_, statement) => {
        const caller = connect("confirm", "k1");
        await caller.execute(begin);
        await caller.execute(write("1"));
        configure({ port: ["k2"] });
        await advanceTime(20);
        expect(caller.isClosed).toBe(false);
        expect((await caller.execute(statement)).completion).toMatchObject({ code: ErrorCode.NotAuthorized });
        expect(caller.isClosed).toBe(true);
        expect(texts()).toEqual(["WRITE 1 data"]);
        expect(fixture.endpoints.get("a").applied.number).toBe(0);
    },
);

// Guards against a session that continues because its key was revoked while it had a request outstanding.
test("a session whose key is revoked during a request ends after the answer", async () => {
    const caller = connect("confirm", "k1");
    const answer = caller.send(read("1"));
    configure({ port: ["k2"] });
    await advanceTime(200);
    expect((await answer).completion.kind).toBe("done");
    expect(caller.isClosed).toBe(true);
});

// Guards against a transaction on a connection in the name of the customer that owned the key before.
test("a transaction ends when its key moves to another customer", async () => {
    const caller = connect("confirm", "k1");
    await caller.execute(begin);
    await caller.execute(read("1"));
    configure({ port: ["k1", "k2"] });
    expect((await caller.execute(read("2"))).completion).toMatchObject({ code: ErrorCode.NotAuthorized });
    expect(texts()).toEqual(["READ 1"]);
});

// Guards against a host that is cut off or frozen and runs requests with keys that may have been revoked.
test("while keys are not accepted, requests with keys are refused at once and public ones are served", async () => {
    const keyed = connect("confirm", "k1");
    const open = connect("confirm", "k2");
    const anonymous = connect("stock");
    await open.execute(begin);
    await open.execute(read("1"));
    acceptsKeys = false;
    expect((await keyed.execute(read("2"))).completion).toMatchObject({ code: ErrorCode.Busy });
    expect((await open.execute(read("3"))).completion).toMatchObject({ code: ErrorCode.Busy });
    expect((await anonymous.execute(read("4"))).completion.kind).toBe("done");
    expect(fixture.gateway.accept(new TestCaller("confirm", "k1"))).toEqual({ kind: "unavailable" });
    expect(texts()).toEqual(["READ 1", "READ 4"]);
    fixture.gateway.closeIdleKeyedSessions("keys are not accepted");
    expect([keyed, open, anonymous].map(caller => caller.isClosed)).toEqual([true, false, false]);
});

// Guards against a session that stays refused after the host may accept keys again.
test("a refused session continues when keys are accepted again", async () => {
    const caller = connect("confirm", "k1");
    acceptsKeys = false;
    await caller.execute(read("1"));
    acceptsKeys = true;
    expect((await caller.execute(read("2"))).completion.kind).toBe("done");
});
