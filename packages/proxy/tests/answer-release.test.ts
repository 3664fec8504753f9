import { describe, expect, it } from "vitest";
import { World } from "./world.js";

// A write must not be acknowledged by a host whose lease or term has ended.
describe("the answer to a write", () => {
    it("is held while the lease is not valid and released under the same term", async () => {
        const world = new World();
        const caller = world.caller();
        await world.run();
        caller.query("INSERT 1");
        await world.settle();
        world.lease = () => false;
        await world.run();
        expect(caller.take()).toEqual([]);
        world.lease = () => true;
        world.changed();
        expect(caller.take()).toEqual(["C:INSERT 0 1", "Z:I"]);
    });

    it("becomes unknown at the deadline", async () => {
        const world = new World();
        const caller = world.caller();
        await world.run();
        caller.query("INSERT 1");
        await world.settle();
        world.lease = () => false;
        await world.run();
        await world.advance(1_000);
        expect(caller.take()).toEqual(["E:ML002", "Z:I"]);
        world.lease = () => true;
        world.changed();
        expect(caller.take()).toEqual([]);
        expect(caller.token).toBe("");
    });

    it("becomes unknown when the term changes, even with a lease for the next term", async () => {
        const world = new World(["a", "b"]);
        const caller = world.caller();
        await world.run();
        caller.query("INSERT 1");
        await world.settle();
        world.lease = () => false;
        await world.run();
        world.lease = () => true;
        world.promote("b", 100);
        expect(caller.take()).toEqual(["E:ML002", "Z:I"]);
    });

    it("becomes unknown when the term changed while the write ran", async () => {
        const world = new World(["a", "b"]);
        const caller = world.caller();
        await world.run();
        caller.query("INSERT 1");
        await world.settle();
        world.promote("b", 100);
        await world.run();
        expect(caller.take()).toEqual(["E:ML002", "Z:I"]);
        expect(world.server("a").committed.length).toBe(1);
        expect(world.server("b").committed.length).toBe(0);
    });

    it("checks the lease for each of several answers that wait", async () => {
        const world = new World();
        const callers = [world.caller(), world.caller()];
        await world.run();
        callers.forEach((caller, index) => {
            caller.query(`INSERT ${index}`);
        });
        await world.settle();
        world.lease = () => false;
        await world.run();
        let checks = 0;
        world.lease = () => ++checks === 1;
        world.changed();
        expect(callers.map(caller => caller.take().length).sort()).toEqual([0, 2]);
    });

    it("waits for a replica at or beyond its position, with acknowledge replica", async () => {
        const world = new World(["a", "b"]);
        world.databaseSettings = { ...world.databaseSettings, acknowledge: "replica" };
        const caller = world.caller();
        await world.advance(200);
        caller.query("INSERT 1");
        await world.advance(20);
        expect(caller.take()).toEqual([]);
        world.server("b").position = 109;
        await world.advance(20);
        expect(caller.take()).toEqual([]);
        world.server("b").position = 110;
        await world.advance(20);
        expect(caller.take()).toEqual(["C:INSERT 0 1", "Z:I"]);
    });

    it("does not count a replica on another timeline", async () => {
        const world = new World(["a", "b"]);
        world.databaseSettings = { ...world.databaseSettings, acknowledge: "replica" };
        const caller = world.caller();
        world.server("b").timeline = 7;
        world.server("b").position = 500;
        await world.advance(200);
        caller.query("INSERT 1");
        await world.advance(1_000);
        expect(caller.take()).toEqual(["E:ML002", "Z:I"]);
    });

    // The waiting write polls positions without the timeline; nothing else would read the replica meanwhile.
    it("notices that a replica has begun to follow the new primary while it waits", async () => {
        const world = new World(["a", "b"]);
        world.databaseSettings = { ...world.databaseSettings, acknowledge: "replica" };
        const caller = world.caller();
        world.server("b").timeline = 7;
        world.server("b").position = 500;
        await world.advance(200);
        caller.query("INSERT 1");
        await world.advance(50);
        expect(caller.take()).toEqual([]);
        world.server("b").timeline = 1;
        await world.advance(20);
        expect(caller.take()).toEqual(["C:INSERT 0 1", "Z:I"]);
    });
});

describe("the session's floor", () => {
    it("is the primary's position at the first read, asked once for callers that arrive together", async () => {
        const world = new World();
        world.databaseSettings = { ...world.databaseSettings, roaming: "strict" };
        await world.settle();
        const callers = [1, 2, 3, 4, 5].map(() => world.caller());
        for (const caller of callers) {
            caller.query("SELECT 1");
        }
        await world.run();
        const asked = world.server().executed.filter(sql => sql === "SELECT pg_current_wal_insert_lsn()").length;
        // One behind each read, and at most one running query plus one for those who came while it ran.
        expect(asked).toBeLessThanOrEqual(callers.length + 2);
        for (const caller of callers) {
            expect(caller.take()).toEqual(["T", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
            expect(caller.token).toBe("1:100");
        }
    });

    it("is reported as lost once and then restarts", async () => {
        const world = new World(["a", "b"]);
        const caller = world.caller({ "medlarledge.session": "1:150" });
        await world.run();
        world.promote("b", 120);
        caller.query("SELECT 1");
        expect(caller.token).toBe("2:120");
        caller.query("SELECT 2");
        await world.run();
        expect(caller.take()).toEqual(["E:ML003", "Z:I", "T", "D:SELECT 2", "C:SELECT 1", "Z:I"]);
    });

    it("waits for the view of a newer term", async () => {
        const world = new World(["a", "b"]);
        const caller = world.caller({ "medlarledge.session": "2:150" });
        caller.query("SELECT 1");
        await world.run();
        expect(caller.take()).toEqual([]);
        world.promote("b", 140);
        await world.run();
        expect(caller.take()).toEqual(["T", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
    });

    it("comes from a token and is refused when the token is not valid", async () => {
        const world = new World();
        const caller = world.caller();
        caller.query("SET medlarledge.session = '1:70'");
        caller.query("SHOW medlarledge.session");
        caller.query("SET medlarledge.session = 'x'");
        expect(caller.take()).toEqual(["C:SET", "Z:I", "T", "D:1:70", "C:SHOW", "Z:I", "E:ML005", "Z:I"]);
        const refused = world.caller({ "medlarledge.session": "x" });
        expect(refused.take()).toEqual(["E:ML005"]);
        expect(refused.closedByProxy).toBe(true);
    });
});
