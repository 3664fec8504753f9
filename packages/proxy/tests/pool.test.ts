import { describe, expect, it } from "vitest";
import { ProxyHarness } from "./proxy-harness.js";

describe("the pool", () => {
    it("never opens more connections than its share, counting cancelled ones", async () => {
        const harness = new ProxyHarness();
        harness.limit = 3;
        const callers = Array.from({ length: 12 }, () => harness.caller());
        for (let round = 0; round < 4; round++) {
            for (const caller of callers) {
                caller.query(`INSERT ${round}`);
            }
            await harness.flushMicrotasks();
            harness.time.runDue(harness.time.now + (round % 2 === 0 ? 1_000 : 1));
            await harness.run();
        }
        await harness.advance(100);
        expect(harness.server().maxSessions).toBe(3);
        expect(harness.proxy.status().databases[0]!.endpoints[0]!.connections).toBeLessThanOrEqual(3);
        const ended = callers.map(caller => caller.takeReceived().filter(item => item === "Z:I").length);
        expect(ended).toEqual(callers.map(() => 4));
    });

    it("refuses requests as not run when the host has no connection share", async () => {
        const harness = new ProxyHarness();
        harness.limit = 0;
        const caller = harness.caller();
        caller.query("INSERT 1");
        await harness.run();
        expect(caller.takeReceived()).toEqual(["E:ML001", "Z:I"]);
        expect(harness.server().openedSessions).toBe(0);
    });

    it("discards the session state of a connection before the next caller uses it", async () => {
        const harness = new ProxyHarness();
        harness.limit = 1;
        const caller = harness.caller();
        caller.query("LISTEN x");
        await harness.run();
        expect(harness.sessions()[0]!.settings).toBe(1);
        const other = harness.caller();
        other.query("SELECT 1");
        await harness.run();
        expect(other.takeReceived()).toEqual([]);
        caller.leave();
        await harness.run();
        expect(other.takeReceived()).toEqual(["T", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
        expect(harness.server().executed.indexOf("DISCARD ALL")).toBeLessThan(
            harness.server().executed.indexOf("SELECT 1"),
        );
        expect(harness.sessions()[0]!.settings).toBe(0);
    });

    it("reserves a pinned connection until DISCARD ALL", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        caller.query("LISTEN x");
        await harness.run();
        const pinned = harness.sessions().find(session => session.settings === 1)!;
        caller.query("SELECT 1");
        await harness.run();
        expect(pinned.executed).toContain("SELECT 1");
        caller.query("DISCARD ALL");
        await harness.run();
        expect(harness.proxy.status().databases[0]!.endpoints[0]).toMatchObject({ connections: 2, idle: 2 });
    });

    it("closes the caller when the connection with its session state is lost", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        caller.query("LISTEN x");
        await harness.run();
        caller.takeReceived();
        harness.sessions().find(session => session.settings === 1)!.cut();
        await harness.run();
        expect(caller.takeReceived()).toEqual(["E:08006"]);
        expect(caller.closedByProxy).toBe(true);
    });

    it("sends a leaving endpoint no new requests and closes its connections when they are idle", async () => {
        const harness = new ProxyHarness(["a", "b"]);
        harness.databaseSettings = { ...harness.databaseSettings, replicaReads: true };
        const caller = harness.caller();
        await harness.advance(200);
        caller.query("SELECT 1");
        await harness.flushMicrotasks();
        expect(harness.busy("b").length).toBe(1);
        harness.databaseView = {
            ...harness.databaseView,
            endpoints: harness.databaseView.endpoints.map(item => ({
                ...item,
                state: item.id === "b" ? "leaving" : "active",
            })),
        };
        harness.changed();
        expect(harness.sessions("b").length).toBe(1);
        const before = harness.server("b").executed.length;
        caller.query("SELECT 2");
        await harness.run();
        expect(caller.takeReceived()).toEqual([
            "T",
            "D:SELECT 1",
            "C:SELECT 1",
            "Z:I",
            "T",
            "D:SELECT 2",
            "C:SELECT 1",
            "Z:I",
        ]);
        expect(harness.server("b").executed.slice(before)).not.toContain("SELECT 2");
        expect(harness.sessions("b")).toEqual([]);
    });

    it("moves waiting writes to the next primary", async () => {
        const harness = new ProxyHarness(["a", "b"]);
        harness.server("a").reachable = false;
        const caller = harness.caller();
        caller.query("INSERT 1");
        await harness.advance(50);
        harness.promote("b", 100);
        await harness.run();
        expect(caller.takeReceived()).toEqual(["C:INSERT 0 1", "Z:I"]);
        expect(harness.server("b").committed.length).toBe(1);
    });

    // Guards against a read that runs on the former primary and raises the read floor of the next term (found by seed
    // 406
    // of the random interleavings).
    it("selects another endpoint for a read that waits for the former primary when the term changes", async () => {
        const harness = new ProxyHarness(["a", "b"]);
        harness.limit = 1;
        const [open, reader] = [harness.caller(), harness.caller()];
        open.query("BEGIN");
        await harness.run();
        reader.query("SELECT 1");
        await harness.run();
        harness.promote("b", 100);
        open.query("ROLLBACK");
        await harness.run();
        expect(reader.takeReceived()).toEqual(["T", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
        expect(harness.server("a").executed).not.toContain("SELECT 1");
        expect(harness.server("b").executed).toContain("SELECT 1");
    });

    it("probes an idle endpoint and reports its silence", async () => {
        const harness = new ProxyHarness();
        harness.proxy.prepare("shop");
        await harness.advance(500);
        expect(harness.silent).toEqual([]);
        const probes = harness.server().executed.filter(sql => sql.includes("pg_control_system"));
        expect(probes.length).toBeGreaterThanOrEqual(4);
        harness.time.runDue(harness.time.now + 250);
        expect(harness.silent).toContain("a");
    });
});
