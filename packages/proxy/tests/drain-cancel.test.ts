import { describe, expect, it } from "vitest";
import type { DrainReport } from "../src/drain.js";
import { ProxyHarness } from "./proxy-harness.js";

describe("drain", () => {
    it("closes idle callers at once and others after their request or transaction, aborting none", async () => {
        const harness = new ProxyHarness();
        const [idle, busy, open] = [harness.caller(), harness.caller(), harness.caller()];
        open.query("BEGIN");
        await harness.run();
        busy.query("INSERT 1");
        await harness.flushMicrotasks();
        let report: DrainReport | undefined;
        void harness.proxy.drain(1_000).then(value => {
            report = value;
        });
        expect(idle.takeReceived()).toEqual(["E:57P01"]);
        expect(harness.caller().takeReceived()).toEqual(["E:57P01"]);
        busy.query("INSERT 2");
        await harness.run();
        expect(busy.takeReceived()).toEqual(["C:INSERT 0 1", "Z:I", "C:INSERT 0 1", "Z:I", "E:57P01"]);
        open.query("INSERT 3");
        open.query("COMMIT");
        await harness.run();
        expect(open.takeReceived()).toEqual(["C:BEGIN", "Z:T", "C:INSERT 0 1", "Z:T", "C:COMMIT", "Z:I", "E:57P01"]);
        expect(report).toMatchObject({ closed: 3, cut: 0 });
        expect(harness.server().committed.length).toBe(3);
    });

    it("aborts the remaining callers at its deadline and reports their number", async () => {
        const harness = new ProxyHarness();
        const open = harness.caller();
        open.query("BEGIN");
        open.query("INSERT 1");
        await harness.run();
        let report: DrainReport | undefined;
        void harness.proxy.drain(500).then(value => {
            report = value;
        });
        await harness.advance(499);
        expect(open.closedByProxy).toBe(false);
        await harness.advance(1);
        expect(report).toMatchObject({ closed: 0, cut: 1 });
        expect(harness.server().committed).toEqual([]);
    });
});

describe("cancel", () => {
    it("reaches only the caller's own running statement", async () => {
        const harness = new ProxyHarness();
        const [first, second] = [harness.caller(), harness.caller()];
        await harness.run();
        first.query("INSERT 1");
        second.query("INSERT 2");
        await harness.flushMicrotasks();
        const session = harness.sessions().find(item => Buffer.from(item.inbox[0]!.bytes).includes("INSERT 1"))!;
        expect(harness.proxy.cancel(first.processId, first.secretKey + 1)).toBe(false);
        expect(harness.proxy.cancel(first.processId, first.secretKey)).toBe(true);
        expect(harness.server().cancelled).toEqual([session.processId]);
        await harness.run();
        expect(harness.proxy.cancel(first.processId, first.secretKey)).toBe(false);
        expect(session.open).toBe(false);
    });

    it("that stops the position query instead of the write does not make the outcome unknown", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        await harness.run();
        caller.query("INSERT 1");
        harness.server().cancelsPositionQuery = true;
        await harness.run();
        expect(caller.takeReceived()).toEqual(["C:INSERT 0 1", "Z:I"]);
        expect(caller.token).toBe("1:110");
    });

    it("does not reach a connection that serves another caller in the meantime", async () => {
        const harness = new ProxyHarness();
        harness.limit = 1;
        const [first, second] = [harness.caller(), harness.caller()];
        first.query("INSERT 1");
        await harness.run();
        second.query("INSERT 2");
        await harness.flushMicrotasks();
        expect(harness.proxy.cancel(first.processId, first.secretKey)).toBe(false);
        expect(harness.server().cancelled).toEqual([]);
    });
});
