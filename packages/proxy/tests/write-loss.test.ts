import { describe, expect, it } from "vitest";
import { ProxyHarness } from "./proxy-harness.js";

const DEADLINE_MS = 1_000;

async function startQuery(
    sql: string,
): Promise<{ harness: ProxyHarness; caller: ReturnType<ProxyHarness["caller"]>; }> {
    const harness = new ProxyHarness();
    const caller = harness.caller();
    await harness.run();
    caller.query(sql);
    await harness.flushMicrotasks();
    return { harness, caller };
}

// A write whose bytes may have reached the endpoint must neither run twice nor be reported as not run.
describe("a write whose connection is lost", () => {
    it.each([
        { stage: "before the endpoint processed it", answered: 0, committed: 0 },
        { stage: "after it ran, before its response", answered: 1, committed: 1 },
        { stage: "after it ran and its position was read", answered: 2, committed: 1 },
    ])("has an unknown outcome $stage", async ({ answered, committed }) => {
        const { harness, caller } = await startQuery("INSERT 1");
        const [session] = harness.busy();
        session!.processMessages(answered, true);
        session!.cut();
        await harness.advance(DEADLINE_MS);
        expect(caller.takeReceived()).toEqual(["E:ML002", "Z:I"]);
        expect(harness.server().committed.length).toBe(committed);
        expect(harness.records.map(record => record.outcome)).toEqual(["unknown"]);
    });

    it("has an unknown outcome when the response arrived but not its position", async () => {
        const { harness, caller } = await startQuery("INSERT 1");
        const [session] = harness.busy();
        session!.processMessages(1);
        expect(caller.takeReceived()).toEqual([]);
        session!.cut();
        await harness.run();
        expect(caller.takeReceived()).toEqual(["E:ML002", "Z:I"]);
    });

    it("runs on another connection when the connection closed before it was used", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        await harness.run();
        for (const session of harness.sessions()) {
            session.cut();
        }
        caller.query("INSERT 1");
        await harness.advance(20);
        expect(caller.takeReceived()).toEqual(["C:INSERT 0 1", "Z:I"]);
    });

    it("is not run when no connection can be opened by the deadline", async () => {
        const harness = new ProxyHarness();
        harness.server().reachable = false;
        const caller = harness.caller();
        caller.query("INSERT 1");
        await harness.advance(DEADLINE_MS);
        expect(caller.takeReceived()).toEqual(["E:ML001", "Z:I"]);
        harness.server().reachable = true;
        await harness.advance(2 * DEADLINE_MS);
        expect(harness.server().committed).toEqual([]);
        expect(caller.takeReceived()).toEqual([]);
    });

    it("runs again when its class allows that", async () => {
        const harness = new ProxyHarness();
        harness.requestClass = { ...harness.requestClass, repeatable: true };
        const caller = harness.caller();
        await harness.run();
        caller.query("INSERT 1");
        await harness.flushMicrotasks();
        harness.busy()[0]!.cut();
        await harness.advance(20);
        expect(caller.takeReceived()).toEqual(["C:INSERT 0 1", "Z:I"]);
        expect(harness.records[0]).toMatchObject({ outcome: "done", retries: 1 });
    });
});

describe("a write at its deadline", () => {
    it("is cancelled and its connection never used again; the late response is discarded", async () => {
        const { harness, caller } = await startQuery("INSERT 1");
        const [session] = harness.busy();
        harness.time.runDue(harness.time.now + DEADLINE_MS);
        expect(caller.takeReceived()).toEqual(["E:ML002", "Z:I"]);
        expect(harness.server().cancelled).toContain(session!.processId);
        expect(session!.open).toBe(false);
        caller.query("SELECT 2");
        await harness.run();
        expect(caller.takeReceived()).toEqual(["T", "D:SELECT 2", "C:SELECT 1", "Z:I"]);
    });

    it("is not run while it waits for a connection", async () => {
        const harness = new ProxyHarness();
        harness.limit = 1;
        const [first, second] = [harness.caller(), harness.caller()];
        first.query("BEGIN");
        await harness.run();
        second.query("INSERT 2");
        await harness.advance(DEADLINE_MS);
        expect(second.takeReceived()).toEqual(["E:ML001", "Z:I"]);
        first.query("COMMIT");
        await harness.advance(DEADLINE_MS);
        expect(harness.server().committed).toEqual([]);
        expect(second.takeReceived()).toEqual([]);
    });
});

describe("a read", () => {
    it("is retried on another endpoint as long as no part of its response was sent", async () => {
        const harness = new ProxyHarness(["a", "b"]);
        harness.databaseSettings = { ...harness.databaseSettings, replicaReads: true };
        const caller = harness.caller();
        await harness.run();
        await harness.advance(100);
        caller.query("SELECT 1");
        await harness.flushMicrotasks();
        harness.busy("b")[0]!.processMessages(1, true);
        await harness.advance(20);
        expect(caller.takeReceived()).toEqual(["T", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
        expect(harness.records[0]).toMatchObject({ replica: false, retries: 1, outcome: "done" });
    });

    it("runs when the only endpoint recovers before its deadline", async () => {
        const harness = new ProxyHarness();
        harness.server().reachable = false;
        const caller = harness.caller();
        caller.query("SELECT 1");
        await harness.advance(300);
        harness.server().reachable = true;
        await harness.advance(600);
        expect(caller.takeReceived()).toEqual(["T", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
    });

    it("is not repeated once rows were sent", async () => {
        const { harness, caller } = await startQuery("SELECT 1");
        const [session] = harness.busy();
        session!.processMessages(1);
        expect(caller.takeReceived()).toEqual(["T", "D:SELECT 1"]);
        session!.cut();
        await harness.advance(20);
        expect(caller.takeReceived()).toEqual(["E:ML002", "Z:I"]);
    });

    it("is not repeated without retry budget", async () => {
        const { harness, caller } = await startQuery("SELECT 1");
        harness.retryBudget = 0;
        harness.busy()[0]!.cut();
        await harness.advance(20);
        expect(caller.takeReceived()).toEqual(["E:ML002", "Z:I"]);
    });

    it("runs on the next endpoint when its freshness check fails, without any part of the first response", async () => {
        const harness = new ProxyHarness(["a", "b"]);
        harness.databaseSettings = { ...harness.databaseSettings, replicaReads: true };
        const caller = harness.caller();
        await harness.run();
        await harness.advance(100);
        caller.query("INSERT 1");
        await harness.run();
        caller.takeReceived();
        caller.query("SELECT 2");
        await harness.run();
        expect(harness.server("b").executed).toContain("SELECT 2");
        expect(harness.server("a").executed).toContain("SELECT 2");
        expect(caller.takeReceived()).toEqual(["T", "D:SELECT 2", "C:SELECT 1", "Z:I"]);
        expect(harness.records.at(-1)).toMatchObject({ replica: false, fresh: false });
    });
});
