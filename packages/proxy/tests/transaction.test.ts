import { describe, expect, it } from "vitest";
import type { FakeCaller } from "./fake-wire.js";
import { extended } from "./fake-wire.js";
import { World } from "./world.js";

async function open(): Promise<{ world: World; caller: FakeCaller; }> {
    const world = new World();
    const caller = world.caller();
    caller.query("BEGIN");
    caller.query("INSERT 1");
    await world.run();
    caller.take();
    return { world, caller };
}

function cutTransaction(world: World): void {
    for (const session of world.sessions()) {
        if (session.status !== "I") {
            session.cut();
        }
    }
}

describe("a transaction whose connection is lost", () => {
    it("is reported as rolled back, and what the caller sent ahead does not run outside of it", async () => {
        const { world, caller } = await open();
        caller.query("INSERT 2");
        caller.query("INSERT 3");
        caller.query("COMMIT");
        cutTransaction(world);
        await world.run();
        expect(caller.take()).toEqual(["E:40001", "Z:E", "E:25P02", "Z:E", "C:ROLLBACK", "Z:I"]);
        expect(world.server().committed).toEqual([]);
        caller.query("INSERT 4");
        await world.run();
        expect(caller.take()).toEqual(["C:INSERT 0 1", "Z:I"]);
    });

    it("is reported at the next statement when it was lost between statements", async () => {
        const { world, caller } = await open();
        cutTransaction(world);
        await world.run();
        expect(caller.take()).toEqual([]);
        caller.query("COMMIT");
        await world.run();
        expect(caller.take()).toEqual(["E:40001", "Z:I"]);
    });

    it("has an unknown outcome once COMMIT was sent", async () => {
        for (const answered of [0, 1, 2]) {
            const { world, caller } = await open();
            caller.query("COMMIT");
            await world.settle();
            const [session] = world.busy();
            session!.work(answered, true);
            session!.cut();
            await world.run();
            expect(caller.take()).toEqual(["E:ML002", "Z:I"]);
            expect(world.server().committed.length).toBe(answered === 0 ? 0 : 1);
        }
    });

    it("answers ROLLBACK in the extended protocol", async () => {
        const { world, caller } = await open();
        cutTransaction(world);
        caller.query("INSERT 2");
        caller.write(extended.parse("", "ROLLBACK"), extended.bind(""), extended.execute(), extended.sync());
        await world.run();
        expect(caller.take()).toEqual(["E:40001", "Z:E", "1", "2", "C:ROLLBACK", "Z:I"]);
    });
});

describe("a read whose connection is lost", () => {
    it("is not repeated outside of its transaction", async () => {
        const { world, caller } = await open();
        caller.query("SELECT 1");
        await world.settle();
        world.busy()[0]!.cut();
        await world.advance(50);
        expect(caller.take()).toEqual(["E:40001", "Z:E"]);
        expect(world.server().executed).not.toContain("SELECT 1");
    });

    it("is not repeated when part of its request was sent before its end arrived", async () => {
        const world = new World();
        world.requestClass = { ...world.requestClass, repeatable: true };
        const caller = world.caller();
        await world.run();
        caller.write(extended.parse("", "SELECT 1"), extended.flush());
        await world.settle();
        world.busy()[0]!.cut();
        await world.advance(50);
        caller.write(extended.bind(""), extended.execute(), extended.sync());
        await world.advance(50);
        expect(caller.take()).toEqual(["E:ML002", "Z:I"]);
    });
});

describe("COMMIT AND CHAIN", () => {
    it("is acknowledged after the position was read over another connection", async () => {
        const { world, caller } = await open();
        caller.query("COMMIT AND CHAIN");
        await world.run();
        expect(caller.take()).toEqual(["C:COMMIT", "Z:T"]);
        expect(caller.token).toBe("1:110");
        const [session] = world.sessions().filter(item => item.status === "T");
        expect(session!.executed.at(-1)).toBe("COMMIT AND CHAIN");
    });

    it("leaves no transaction open that the caller does not know of, when it is not acknowledged", async () => {
        const { world, caller } = await open();
        caller.query("COMMIT AND CHAIN");
        await world.settle();
        world.lease = () => false;
        await world.advance(1_000);
        expect(caller.take()).toEqual(["E:ML002", "Z:E"]);
        world.lease = () => true;
        world.changed();
        caller.query("INSERT 2");
        caller.query("ROLLBACK");
        caller.query("INSERT 3");
        await world.run();
        expect(caller.take()).toEqual(["E:25P02", "Z:E", "C:ROLLBACK", "Z:I", "C:INSERT 0 1", "Z:I"]);
        expect(world.server().committed.map(item => item.sql)).toEqual(["INSERT 1", "INSERT 3"]);
    });
});

describe("a transaction", () => {
    it("keeps a pinned connection when it is rolled back for a refused statement", async () => {
        const world = new World();
        const caller = world.caller();
        for (const sql of ["LISTEN x", "BEGIN", "INSERT 1", "PREPARE x", "ROLLBACK", "SELECT 2"]) {
            caller.query(sql);
        }
        await world.run();
        expect(caller.take().slice(-7)).toEqual(
            ["E:ML004", "Z:E", "C:ROLLBACK", "Z:I", "T", "D:SELECT 2", "C:SELECT 1", "Z:I"].slice(1),
        );
        expect(world.sessions().find(item => item.settings === 1)!.executed).toContain("SELECT 2");
        expect(world.server().committed).toEqual([]);
    });

    it("is rolled back when a statement waited behind others until its deadline", async () => {
        const { world, caller } = await open();
        world.requestClass = { ...world.requestClass, deadlineMs: 100_000 };
        caller.query("SELECT slow");
        await world.settle();
        world.requestClass = { ...world.requestClass, deadlineMs: 10 };
        caller.query("INSERT 2");
        caller.query("COMMIT");
        world.time.runDue(world.time.now + 50);
        await world.run();
        expect(caller.take().slice(-4)).toEqual(["E:40001", "Z:E", "C:ROLLBACK", "Z:I"]);
        expect(world.server().committed).toEqual([]);
    });

    it("is rolled back at a statement's deadline", async () => {
        const { world, caller } = await open();
        caller.query("INSERT 2");
        await world.settle();
        world.time.runDue(world.time.now + 1_000);
        caller.query("COMMIT");
        await world.run();
        expect(caller.take()).toEqual(["E:40001", "Z:E", "C:ROLLBACK", "Z:I"]);
        expect(world.server().committed).toEqual([]);
    });

    it("does not commit on a former primary after the term changed", async () => {
        const world = new World(["a", "b"]);
        const caller = world.caller();
        caller.query("BEGIN");
        caller.query("INSERT 1");
        await world.run();
        caller.take();
        world.promote("b", 100);
        caller.query("COMMIT");
        await world.run();
        expect(caller.take()).toEqual(["E:40001", "Z:E"]);
        expect(world.server("a").committed).toEqual([]);
    });

    it("fails as a whole when a statement in it is refused", async () => {
        const { world, caller } = await open();
        caller.query("PREPARE x");
        caller.query("COMMIT");
        await world.run();
        expect(caller.take()).toEqual(["E:ML004", "Z:E", "C:ROLLBACK", "Z:I"]);
        expect(world.server().committed).toEqual([]);
        expect(world.sessions().every(session => session.status === "I")).toBe(true);
    });

    it("is rolled back on the endpoint when its caller leaves, before anyone else gets the connection", async () => {
        const { world, caller } = await open();
        caller.leave();
        await world.run();
        const other = world.caller();
        other.query("INSERT 2");
        await world.run();
        expect(world.server().committed.map(item => item.sql)).toEqual(["INSERT 2"]);
    });

    it("reports a BEGIN that did not run so that statements sent ahead do not run alone", async () => {
        const world = new World();
        world.server().reachable = false;
        const caller = world.caller();
        caller.query("BEGIN");
        caller.query("INSERT 1");
        caller.query("COMMIT");
        await world.advance(1_000);
        world.server().reachable = true;
        await world.advance(2_000);
        expect(caller.take()).toEqual(["E:ML001", "Z:E", "E:25P02", "Z:E", "C:ROLLBACK", "Z:I"]);
        expect(world.server().committed).toEqual([]);
    });
});
