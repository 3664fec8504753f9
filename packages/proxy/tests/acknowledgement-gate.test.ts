import { describe, expect, it } from "vitest";
import { ProxyHarness } from "./proxy-harness.js";

// A host whose lease or term has ended must not acknowledge a write: the next primary may not have it.
describe("the response to a write", () => {
    it("is held while the lease is not valid and released under the same term", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        await harness.run();
        caller.query("INSERT 1");
        await harness.flushMicrotasks();
        harness.isLeaseValid = () => false;
        await harness.run();
        expect(caller.takeReceived()).toEqual([]);
        harness.isLeaseValid = () => true;
        harness.changed();
        expect(caller.takeReceived()).toEqual(["C:INSERT 0 1", "Z:I"]);
    });

    it("reports an unknown outcome at the deadline", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        await harness.run();
        caller.query("INSERT 1");
        await harness.flushMicrotasks();
        harness.isLeaseValid = () => false;
        await harness.run();
        await harness.advance(1_000);
        expect(caller.takeReceived()).toEqual(["E:ML002", "Z:I"]);
        harness.isLeaseValid = () => true;
        harness.changed();
        expect(caller.takeReceived()).toEqual([]);
        expect(caller.token).toBe("");
    });

    it("reports an unknown outcome when the term changes, even with a lease for the next term", async () => {
        const harness = new ProxyHarness(["a", "b"]);
        const caller = harness.caller();
        await harness.run();
        caller.query("INSERT 1");
        await harness.flushMicrotasks();
        harness.isLeaseValid = () => false;
        await harness.run();
        harness.isLeaseValid = () => true;
        harness.promote("b", 100);
        expect(caller.takeReceived()).toEqual(["E:ML002", "Z:I"]);
    });

    it("reports an unknown outcome when the term changed while the write ran", async () => {
        const harness = new ProxyHarness(["a", "b"]);
        const caller = harness.caller();
        await harness.run();
        caller.query("INSERT 1");
        await harness.flushMicrotasks();
        harness.promote("b", 100);
        await harness.run();
        expect(caller.takeReceived()).toEqual(["E:ML002", "Z:I"]);
        expect(harness.server("a").committed.length).toBe(1);
        expect(harness.server("b").committed.length).toBe(0);
    });

    it("is released only after a lease check of its own when several responses are held", async () => {
        const harness = new ProxyHarness();
        const callers = [harness.caller(), harness.caller()];
        await harness.run();
        callers.forEach((caller, index) => {
            caller.query(`INSERT ${index}`);
        });
        await harness.flushMicrotasks();
        harness.isLeaseValid = () => false;
        await harness.run();
        let checks = 0;
        harness.isLeaseValid = () => ++checks === 1;
        harness.changed();
        expect(callers.map(caller => caller.takeReceived().length).sort()).toEqual([0, 2]);
    });

    it("waits for a replica at or beyond its position, with acknowledge replica", async () => {
        const harness = new ProxyHarness(["a", "b"]);
        harness.databaseSettings = { ...harness.databaseSettings, acknowledge: "replica" };
        const caller = harness.caller();
        await harness.advance(200);
        caller.query("INSERT 1");
        await harness.advance(20);
        expect(caller.takeReceived()).toEqual([]);
        harness.server("b").position = 109;
        await harness.advance(20);
        expect(caller.takeReceived()).toEqual([]);
        harness.server("b").position = 110;
        await harness.advance(20);
        expect(caller.takeReceived()).toEqual(["C:INSERT 0 1", "Z:I"]);
    });

    it("does not count a replica on another timeline", async () => {
        const harness = new ProxyHarness(["a", "b"]);
        harness.databaseSettings = { ...harness.databaseSettings, acknowledge: "replica" };
        const caller = harness.caller();
        harness.server("b").timeline = 7;
        harness.server("b").position = 500;
        await harness.advance(200);
        caller.query("INSERT 1");
        await harness.advance(1_000);
        expect(caller.takeReceived()).toEqual(["E:ML002", "Z:I"]);
    });

    // The poll for waiting writes queries positions without the timeline, and no other query runs on the replica
    // meanwhile.
    it("is released when a replica begins to follow the primary's timeline during the wait", async () => {
        const harness = new ProxyHarness(["a", "b"]);
        harness.databaseSettings = { ...harness.databaseSettings, acknowledge: "replica" };
        const caller = harness.caller();
        harness.server("b").timeline = 7;
        harness.server("b").position = 500;
        await harness.advance(200);
        caller.query("INSERT 1");
        await harness.advance(50);
        expect(caller.takeReceived()).toEqual([]);
        harness.server("b").timeline = 1;
        await harness.advance(20);
        expect(caller.takeReceived()).toEqual(["C:INSERT 0 1", "Z:I"]);
    });
});

describe("the session's read floor", () => {
    it("is the primary's position at the first read, queried once for callers that arrive together", async () => {
        const harness = new ProxyHarness();
        harness.databaseSettings = { ...harness.databaseSettings, roaming: "strict" };
        await harness.flushMicrotasks();
        const callers = [1, 2, 3, 4, 5].map(() => harness.caller());
        for (const caller of callers) {
            caller.query("SELECT 1");
        }
        await harness.run();
        const asked = harness.server().executed.filter(sql => sql === "SELECT pg_current_wal_insert_lsn()").length;
        // One query after each read, and at most one running query plus one for the callers that arrived while it ran.
        expect(asked).toBeLessThanOrEqual(callers.length + 2);
        for (const caller of callers) {
            expect(caller.takeReceived()).toEqual(["T", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
            expect(caller.token).toBe("1:100");
        }
    });

    it("is reported as lost once and then restarts", async () => {
        const harness = new ProxyHarness(["a", "b"]);
        const caller = harness.caller({ "medlarledge.session": "1:150" });
        await harness.run();
        harness.promote("b", 120);
        caller.query("SELECT 1");
        expect(caller.token).toBe("2:120");
        caller.query("SELECT 2");
        await harness.run();
        expect(caller.takeReceived()).toEqual(["E:ML003", "Z:I", "T", "D:SELECT 2", "C:SELECT 1", "Z:I"]);
    });

    it("waits for the view of a newer term", async () => {
        const harness = new ProxyHarness(["a", "b"]);
        const caller = harness.caller({ "medlarledge.session": "2:150" });
        caller.query("SELECT 1");
        await harness.run();
        expect(caller.takeReceived()).toEqual([]);
        harness.promote("b", 140);
        await harness.run();
        expect(caller.takeReceived()).toEqual(["T", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
    });

    it("comes from a token and is refused when the token is not valid", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        caller.query("SET medlarledge.session = '1:70'");
        caller.query("SHOW medlarledge.session");
        caller.query("SET medlarledge.session = 'x'");
        expect(caller.takeReceived()).toEqual(["C:SET", "Z:I", "T", "D:1:70", "C:SHOW", "Z:I", "E:ML005", "Z:I"]);
        const refused = harness.caller({ "medlarledge.session": "x" });
        expect(refused.takeReceived()).toEqual(["E:ML005"]);
        expect(refused.closedByProxy).toBe(true);
    });
});
