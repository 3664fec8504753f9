import { describe, expect, it } from "vitest";
import { World } from "./world.js";

const DEADLINE_MS = 1_000;

async function started(sql: string): Promise<{ world: World; caller: ReturnType<World["caller"]>; }> {
    const world = new World();
    const caller = world.caller();
    await world.run();
    caller.query(sql);
    await world.settle();
    return { world, caller };
}

// A write whose bytes may have reached the endpoint must neither run twice nor be reported as not run.
describe("a write whose connection is lost", () => {
    it.each([
        { stage: "before the endpoint worked on it", answered: 0, committed: 0 },
        { stage: "after it ran, before its answer", answered: 1, committed: 1 },
        { stage: "after it ran and its position was read", answered: 2, committed: 1 },
    ])("has an unknown outcome $stage", async ({ answered, committed }) => {
        const { world, caller } = await started("INSERT 1");
        const [session] = world.busy();
        session!.work(answered, true);
        session!.cut();
        await world.advance(DEADLINE_MS);
        expect(caller.take()).toEqual(["E:ML002", "Z:I"]);
        expect(world.server().committed.length).toBe(committed);
        expect(world.records.map(record => record.outcome)).toEqual(["unknown"]);
    });

    it("is unknown when the answer arrived but not its position", async () => {
        const { world, caller } = await started("INSERT 1");
        const [session] = world.busy();
        session!.work(1);
        expect(caller.take()).toEqual([]);
        session!.cut();
        await world.run();
        expect(caller.take()).toEqual(["E:ML002", "Z:I"]);
    });

    it("runs elsewhere when the connection closed before it was used", async () => {
        const world = new World();
        const caller = world.caller();
        await world.run();
        for (const session of world.sessions()) {
            session.cut();
        }
        caller.query("INSERT 1");
        await world.advance(20);
        expect(caller.take()).toEqual(["C:INSERT 0 1", "Z:I"]);
    });

    it("is not run when no connection can be opened by the deadline", async () => {
        const world = new World();
        world.server().reachable = false;
        const caller = world.caller();
        caller.query("INSERT 1");
        await world.advance(DEADLINE_MS);
        expect(caller.take()).toEqual(["E:ML001", "Z:I"]);
        world.server().reachable = true;
        await world.advance(2 * DEADLINE_MS);
        expect(world.server().committed).toEqual([]);
        expect(caller.take()).toEqual([]);
    });

    it("runs again when its class allows that", async () => {
        const world = new World();
        world.requestClass = { ...world.requestClass, repeatable: true };
        const caller = world.caller();
        await world.run();
        caller.query("INSERT 1");
        await world.settle();
        world.busy()[0]!.cut();
        await world.advance(20);
        expect(caller.take()).toEqual(["C:INSERT 0 1", "Z:I"]);
        expect(world.records[0]).toMatchObject({ outcome: "done", retries: 1 });
    });
});

describe("a write at its deadline", () => {
    it("is cancelled and its connection never used again; the late answer is dropped", async () => {
        const { world, caller } = await started("INSERT 1");
        const [session] = world.busy();
        world.time.runDue(world.time.now + DEADLINE_MS);
        expect(caller.take()).toEqual(["E:ML002", "Z:I"]);
        expect(world.server().cancelled).toContain(session!.processId);
        expect(session!.open).toBe(false);
        caller.query("SELECT 2");
        await world.run();
        expect(caller.take()).toEqual(["T", "D:SELECT 2", "C:SELECT 1", "Z:I"]);
    });

    it("is not run while it waits for a connection", async () => {
        const world = new World();
        world.limit = 1;
        const [first, second] = [world.caller(), world.caller()];
        first.query("BEGIN");
        await world.run();
        second.query("INSERT 2");
        await world.advance(DEADLINE_MS);
        expect(second.take()).toEqual(["E:ML001", "Z:I"]);
        first.query("COMMIT");
        await world.advance(DEADLINE_MS);
        expect(world.server().committed).toEqual([]);
        expect(second.take()).toEqual([]);
    });
});

describe("a read", () => {
    it("is repeated elsewhere as long as nothing was sent", async () => {
        const world = new World(["a", "b"]);
        world.databaseSettings = { ...world.databaseSettings, replicaReads: true };
        const caller = world.caller();
        await world.run();
        await world.advance(100);
        caller.query("SELECT 1");
        await world.settle();
        world.busy("b")[0]!.work(1, true);
        await world.advance(20);
        expect(caller.take()).toEqual(["T", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
        expect(world.records[0]).toMatchObject({ replica: false, retries: 1, outcome: "done" });
    });

    it("runs when the only endpoint is back before its deadline", async () => {
        const world = new World();
        world.server().reachable = false;
        const caller = world.caller();
        caller.query("SELECT 1");
        await world.advance(300);
        world.server().reachable = true;
        await world.advance(600);
        expect(caller.take()).toEqual(["T", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
    });

    it("is not repeated once rows were sent", async () => {
        const { world, caller } = await started("SELECT 1");
        const [session] = world.busy();
        session!.work(1);
        expect(caller.take()).toEqual(["T", "D:SELECT 1"]);
        session!.cut();
        await world.advance(20);
        expect(caller.take()).toEqual(["E:ML002", "Z:I"]);
    });

    it("is not repeated without retry budget", async () => {
        const { world, caller } = await started("SELECT 1");
        world.retryBudget = 0;
        world.busy()[0]!.cut();
        await world.advance(20);
        expect(caller.take()).toEqual(["E:ML002", "Z:I"]);
    });

    it("runs on the next endpoint when its proof fails, and nothing of the first answer is sent", async () => {
        const world = new World(["a", "b"]);
        world.databaseSettings = { ...world.databaseSettings, replicaReads: true };
        const caller = world.caller();
        await world.run();
        await world.advance(100);
        caller.query("INSERT 1");
        await world.run();
        caller.take();
        caller.query("SELECT 2");
        await world.run();
        expect(world.server("b").executed).toContain("SELECT 2");
        expect(world.server("a").executed).toContain("SELECT 2");
        expect(caller.take()).toEqual(["T", "D:SELECT 2", "C:SELECT 1", "Z:I"]);
        expect(world.records.at(-1)).toMatchObject({ replica: false, fresh: false });
    });
});
