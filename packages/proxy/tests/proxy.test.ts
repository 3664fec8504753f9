import { describe, expect, it } from "vitest";
import { extended } from "./fake-wire.js";
import { ProxyHarness } from "./proxy-harness.js";

describe("requests", () => {
    it("returns the token of a simple write before ReadyForQuery", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        caller.query("INSERT 1");
        await harness.run();
        expect(caller.received).toEqual(["C:INSERT 0 1", "S:medlarledge.session", "Z:I"]);
        expect(caller.token).toBe("1:110");
        expect(harness.records.map(record => record.outcome)).toEqual(["done"]);
    });

    it("responds to pipelined requests in order", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        caller.query("SELECT 1");
        caller.query("INSERT 2");
        caller.query("SELECT 3");
        await harness.run();
        expect(caller.takeReceived()).toEqual([
            "T",
            "D:SELECT 1",
            "C:SELECT 1",
            "Z:I",
            "C:INSERT 0 1",
            "Z:I",
            "T",
            "D:SELECT 3",
            "C:SELECT 1",
            "Z:I",
        ]);
    });

    it("runs a transaction on one connection and returns it to the pool afterwards", async () => {
        const harness = new ProxyHarness();
        const [first, second] = [harness.caller(), harness.caller()];
        first.query("BEGIN");
        second.query("BEGIN");
        await harness.run();
        first.query("INSERT 1");
        second.query("INSERT 2");
        await harness.run();
        second.query("COMMIT");
        first.query("COMMIT");
        await harness.run();
        expect(first.takeReceived()).toEqual(["C:BEGIN", "Z:T", "C:INSERT 0 1", "Z:T", "C:COMMIT", "Z:I"]);
        const committed = harness.server().committed;
        expect(committed.map(item => item.sql).sort()).toEqual(["INSERT 1", "INSERT 2"]);
        expect(new Set(committed.map(item => item.transaction)).size).toBe(2);
        expect(harness.proxy.status().databases[0]?.endpoints[0]).toMatchObject({ connections: 2, idle: 2 });
    });

    it("runs the extended protocol with statements prepared in another request", async () => {
        const harness = new ProxyHarness();
        const [first, second] = [harness.caller(), harness.caller()];
        first.write(extended.parse("s", "SELECT 1"), extended.sync());
        second.write(extended.parse("s", "SELECT 2"), extended.sync());
        await harness.run();
        for (const caller of [first, second]) {
            caller.write(extended.bind("s"), extended.describe("s"), extended.execute(), extended.sync());
        }
        await harness.run();
        expect(first.takeReceived()).toEqual(["1", "Z:I", "2", "t", "n", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
        expect(second.takeReceived()).toEqual(["1", "Z:I", "2", "t", "n", "D:SELECT 2", "C:SELECT 1", "Z:I"]);
    });
});
