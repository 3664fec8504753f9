import { describe, expect, it } from "vitest";
import { extended } from "./fake-wire.js";
import { World } from "./world.js";

describe("requests", () => {
    it("answers a simple write with its token before ReadyForQuery", async () => {
        const world = new World();
        const caller = world.caller();
        caller.query("INSERT 1");
        await world.run();
        expect(caller.received).toEqual(["C:INSERT 0 1", "S:medlarledge.session", "Z:I"]);
        expect(caller.token).toBe("1:110");
        expect(world.records.map(record => record.outcome)).toEqual(["done"]);
    });

    it("answers pipelined requests in their order", async () => {
        const world = new World();
        const caller = world.caller();
        caller.query("SELECT 1");
        caller.query("INSERT 2");
        caller.query("SELECT 3");
        await world.run();
        expect(caller.take()).toEqual([
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

    it("keeps a transaction on one connection and gives it back afterwards", async () => {
        const world = new World();
        const [first, second] = [world.caller(), world.caller()];
        first.query("BEGIN");
        second.query("BEGIN");
        await world.run();
        first.query("INSERT 1");
        second.query("INSERT 2");
        await world.run();
        second.query("COMMIT");
        first.query("COMMIT");
        await world.run();
        expect(first.take()).toEqual(["C:BEGIN", "Z:T", "C:INSERT 0 1", "Z:T", "C:COMMIT", "Z:I"]);
        const committed = world.server().committed;
        expect(committed.map(item => item.sql).sort()).toEqual(["INSERT 1", "INSERT 2"]);
        expect(new Set(committed.map(item => item.transaction)).size).toBe(2);
        expect(world.proxy.status().databases[0]?.endpoints[0]).toMatchObject({ connections: 2, idle: 2 });
    });

    it("runs the extended protocol with statements prepared in another request", async () => {
        const world = new World();
        const [first, second] = [world.caller(), world.caller()];
        first.write(extended.parse("s", "SELECT 1"), extended.sync());
        second.write(extended.parse("s", "SELECT 2"), extended.sync());
        await world.run();
        for (const caller of [first, second]) {
            caller.write(extended.bind("s"), extended.describe("s"), extended.execute(), extended.sync());
        }
        await world.run();
        expect(first.take()).toEqual(["1", "Z:I", "2", "t", "n", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
        expect(second.take()).toEqual(["1", "Z:I", "2", "t", "n", "D:SELECT 2", "C:SELECT 1", "Z:I"]);
    });
});
