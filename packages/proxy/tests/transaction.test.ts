import { describe, expect, it } from "vitest";
import type { FakeCaller } from "./fake-wire.js";
import { extended } from "./fake-wire.js";
import { ProxyHarness } from "./proxy-harness.js";

async function openTransaction(): Promise<{ harness: ProxyHarness; caller: FakeCaller; }> {
    const harness = new ProxyHarness();
    const caller = harness.caller();
    caller.query("BEGIN");
    caller.query("INSERT 1");
    await harness.run();
    caller.takeReceived();
    return { harness, caller };
}

function disconnectTransaction(harness: ProxyHarness): void {
    for (const session of harness.sessions()) {
        if (session.status !== "I") {
            session.cut();
        }
    }
}

describe("a transaction whose connection is lost", () => {
    it("is reported as rolled back, and pipelined statements do not run outside of it", async () => {
        const { harness, caller } = await openTransaction();
        caller.query("INSERT 2");
        caller.query("INSERT 3");
        caller.query("COMMIT");
        disconnectTransaction(harness);
        await harness.run();
        expect(caller.takeReceived()).toEqual(["E:40001", "Z:E", "E:25P02", "Z:E", "C:ROLLBACK", "Z:I"]);
        expect(harness.server().committed).toEqual([]);
        caller.query("INSERT 4");
        await harness.run();
        expect(caller.takeReceived()).toEqual(["C:INSERT 0 1", "Z:I"]);
    });

    it("is reported at the next statement when it was lost between statements", async () => {
        const { harness, caller } = await openTransaction();
        disconnectTransaction(harness);
        await harness.run();
        expect(caller.takeReceived()).toEqual([]);
        caller.query("COMMIT");
        await harness.run();
        expect(caller.takeReceived()).toEqual(["E:40001", "Z:I"]);
    });

    it("has an unknown outcome once COMMIT was sent", async () => {
        for (const answered of [0, 1, 2]) {
            const { harness, caller } = await openTransaction();
            caller.query("COMMIT");
            await harness.flushMicrotasks();
            const [session] = harness.busy();
            session!.processMessages(answered, true);
            session!.cut();
            await harness.run();
            expect(caller.takeReceived()).toEqual(["E:ML002", "Z:I"]);
            expect(harness.server().committed.length).toBe(answered === 0 ? 0 : 1);
        }
    });

    it("accepts ROLLBACK in the extended protocol", async () => {
        const { harness, caller } = await openTransaction();
        disconnectTransaction(harness);
        caller.query("INSERT 2");
        caller.write(extended.parse("", "ROLLBACK"), extended.bind(""), extended.execute(), extended.sync());
        await harness.run();
        expect(caller.takeReceived()).toEqual(["E:40001", "Z:E", "1", "2", "C:ROLLBACK", "Z:I"]);
    });
});

describe("a read whose connection is lost", () => {
    it("is not repeated outside of its transaction", async () => {
        const { harness, caller } = await openTransaction();
        caller.query("SELECT 1");
        await harness.flushMicrotasks();
        harness.busy()[0]!.cut();
        await harness.advance(50);
        expect(caller.takeReceived()).toEqual(["E:40001", "Z:E"]);
        expect(harness.server().executed).not.toContain("SELECT 1");
    });

    it("is not repeated when part of its request was sent before its end arrived", async () => {
        const harness = new ProxyHarness();
        harness.requestClass = { ...harness.requestClass, repeatable: true };
        const caller = harness.caller();
        await harness.run();
        caller.write(extended.parse("", "SELECT 1"), extended.flush());
        await harness.flushMicrotasks();
        harness.busy()[0]!.cut();
        await harness.advance(50);
        caller.write(extended.bind(""), extended.execute(), extended.sync());
        await harness.advance(50);
        expect(caller.takeReceived()).toEqual(["E:ML002", "Z:I"]);
    });
});

describe("COMMIT AND CHAIN", () => {
    it("is acknowledged after the position was queried over another connection", async () => {
        const { harness, caller } = await openTransaction();
        caller.query("COMMIT AND CHAIN");
        await harness.run();
        expect(caller.takeReceived()).toEqual(["C:COMMIT", "Z:T"]);
        expect(caller.token).toBe("1:110");
        const [session] = harness.sessions().filter(item => item.status === "T");
        expect(session!.executed.at(-1)).toBe("COMMIT AND CHAIN");
    });

    it("leaves no open transaction hidden from the caller when it is not acknowledged", async () => {
        const { harness, caller } = await openTransaction();
        caller.query("COMMIT AND CHAIN");
        await harness.flushMicrotasks();
        harness.isLeaseValid = () => false;
        await harness.advance(1_000);
        expect(caller.takeReceived()).toEqual(["E:ML002", "Z:E"]);
        harness.isLeaseValid = () => true;
        harness.changed();
        caller.query("INSERT 2");
        caller.query("ROLLBACK");
        caller.query("INSERT 3");
        await harness.run();
        expect(caller.takeReceived()).toEqual(["E:25P02", "Z:E", "C:ROLLBACK", "Z:I", "C:INSERT 0 1", "Z:I"]);
        expect(harness.server().committed.map(item => item.sql)).toEqual(["INSERT 1", "INSERT 3"]);
    });
});

describe("a transaction", () => {
    it("keeps its pinned connection when it is rolled back because of a refused statement", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        for (const sql of ["LISTEN x", "BEGIN", "INSERT 1", "PREPARE x", "ROLLBACK", "SELECT 2"]) {
            caller.query(sql);
        }
        await harness.run();
        expect(caller.takeReceived().slice(-7)).toEqual(
            ["E:ML004", "Z:E", "C:ROLLBACK", "Z:I", "T", "D:SELECT 2", "C:SELECT 1", "Z:I"].slice(1),
        );
        expect(harness.sessions().find(item => item.settings === 1)!.executed).toContain("SELECT 2");
        expect(harness.server().committed).toEqual([]);
    });

    it("is rolled back when a statement waited behind others past its deadline", async () => {
        const { harness, caller } = await openTransaction();
        harness.requestClass = { ...harness.requestClass, deadlineMs: 100_000 };
        caller.query("SELECT slow");
        await harness.flushMicrotasks();
        harness.requestClass = { ...harness.requestClass, deadlineMs: 10 };
        caller.query("INSERT 2");
        caller.query("COMMIT");
        harness.time.runDue(harness.time.now + 50);
        await harness.run();
        expect(caller.takeReceived().slice(-4)).toEqual(["E:40001", "Z:E", "C:ROLLBACK", "Z:I"]);
        expect(harness.server().committed).toEqual([]);
    });

    it("is rolled back at a statement's deadline", async () => {
        const { harness, caller } = await openTransaction();
        caller.query("INSERT 2");
        await harness.flushMicrotasks();
        harness.time.runDue(harness.time.now + 1_000);
        caller.query("COMMIT");
        await harness.run();
        expect(caller.takeReceived()).toEqual(["E:40001", "Z:E", "C:ROLLBACK", "Z:I"]);
        expect(harness.server().committed).toEqual([]);
    });

    it("does not commit on a former primary after the term changed", async () => {
        const harness = new ProxyHarness(["a", "b"]);
        const caller = harness.caller();
        caller.query("BEGIN");
        caller.query("INSERT 1");
        await harness.run();
        caller.takeReceived();
        harness.promote("b", 100);
        caller.query("COMMIT");
        await harness.run();
        expect(caller.takeReceived()).toEqual(["E:40001", "Z:E"]);
        expect(harness.server("a").committed).toEqual([]);
    });

    it("fails as a whole when a statement in it is refused", async () => {
        const { harness, caller } = await openTransaction();
        caller.query("PREPARE x");
        caller.query("COMMIT");
        await harness.run();
        expect(caller.takeReceived()).toEqual(["E:ML004", "Z:E", "C:ROLLBACK", "Z:I"]);
        expect(harness.server().committed).toEqual([]);
        expect(harness.sessions().every(session => session.status === "I")).toBe(true);
    });

    it("is rolled back when its caller disconnects, before another caller gets the connection", async () => {
        const { harness, caller } = await openTransaction();
        caller.leave();
        await harness.run();
        const other = harness.caller();
        other.query("INSERT 2");
        await harness.run();
        expect(harness.server().committed.map(item => item.sql)).toEqual(["INSERT 2"]);
    });

    it("fails when its BEGIN did not run, so that pipelined statements do not run outside of it", async () => {
        const harness = new ProxyHarness();
        harness.server().reachable = false;
        const caller = harness.caller();
        caller.query("BEGIN");
        caller.query("INSERT 1");
        caller.query("COMMIT");
        await harness.advance(1_000);
        harness.server().reachable = true;
        await harness.advance(2_000);
        expect(caller.takeReceived()).toEqual(["E:ML001", "Z:E", "E:25P02", "Z:E", "C:ROLLBACK", "Z:I"]);
        expect(harness.server().committed).toEqual([]);
    });
});
