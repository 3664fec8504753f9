import { describe, expect, it } from "vitest";
import { extended, message } from "./fake-wire.js";
import { World } from "./world.js";

const { parse, bind, describe: describeStatement, execute, close, sync, flush } = extended;

describe("the extended protocol", () => {
    it("skips to Sync after an error and does not define what was skipped", async () => {
        const world = new World();
        const caller = world.caller();
        caller.write(parse("f", "FAIL"), bind("f"), execute(), parse("g", "SELECT 2"), sync());
        caller.write(bind("g"), execute(), sync());
        await world.run();
        expect(caller.take()).toEqual(["1", "2", "E:42601", "Z:I", "E:26000", "Z:I"]);
    });

    it("answers in order when a connection has one statement already and not another", async () => {
        const world = new World();
        world.limit = 1;
        const [first, second] = [world.caller(), world.caller()];
        first.write(parse("a", "SELECT 1"), sync());
        await world.run();
        second.write(
            parse("x", "SELECT 1"),
            bind("x"),
            execute(),
            parse("y", "SELECT 2"),
            bind("y"),
            execute(),
            close("x"),
            bind("x"),
            execute(),
            sync(),
        );
        await world.run();
        expect(second.take()).toEqual(
            ["1", "2", "D:SELECT 1", "C:SELECT 1", "1", "2", "D:SELECT 2", "C:SELECT 1", "3", "E:26000", "Z:I"],
        );
    });

    it("prepares again on a connection that does not have the statement", async () => {
        const world = new World();
        const caller = world.caller();
        caller.write(parse("s", "SELECT 1"), sync());
        await world.run();
        for (const session of world.sessions()) {
            session.cut();
        }
        await world.advance(50);
        caller.take();
        caller.write(bind("s"), execute(), sync());
        await world.run();
        expect(caller.take()).toEqual(["2", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
    });

    it("keeps unnamed statements apart between callers of one connection", async () => {
        const world = new World();
        world.limit = 1;
        const [first, second] = [world.caller(), world.caller()];
        first.write(parse("", "SELECT 1"), sync());
        await world.run();
        second.write(parse("", "SELECT 2"), sync());
        await world.run();
        first.write(bind(""), execute(), sync());
        await world.run();
        expect(first.take()).toEqual(["1", "Z:I", "2", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
        const third = world.caller();
        third.write(bind(""), execute(), sync());
        await world.run();
        expect(third.take()).toEqual(["E:26000", "Z:I"]);
    });

    it("refuses a name that is taken, as PostgreSQL does", async () => {
        const world = new World();
        const caller = world.caller();
        caller.write(parse("s", "SELECT 1"), sync());
        caller.write(parse("s", "SELECT 2"), sync());
        await world.run();
        expect(caller.take()).toEqual(["1", "Z:I", "E:42P05", "Z:I"]);
    });

    it("bounds what a connection has prepared", async () => {
        const world = new World();
        world.limit = 1;
        const caller = world.caller();
        for (let index = 0; index < 300; index++) {
            caller.write(parse(`s${index}`, `SELECT ${index}`), sync());
            await world.run();
        }
        expect(world.sessions()[0]!.prepared.size).toBeLessThanOrEqual(200);
        caller.take();
        caller.write(bind("s0"), execute(), bind("s299"), execute(), sync());
        await world.run();
        expect(caller.take()).toEqual(["2", "D:SELECT 0", "C:SELECT 1", "2", "D:SELECT 299", "C:SELECT 1", "Z:I"]);
    });

    it("answers before Sync when the caller sends Flush", async () => {
        const world = new World();
        const caller = world.caller();
        caller.write(parse("s", "INSERT 1"), describeStatement("s"), flush());
        await world.run();
        expect(caller.take()).toEqual(["1", "t", "n"]);
        caller.write(bind("s"), execute(), sync());
        await world.run();
        expect(caller.take()).toEqual(["2", "C:INSERT 0 1", "Z:I"]);
        expect(caller.token).toBe("1:110");
    });

    it("reports an error before Sync and ReadyForQuery at the Sync", async () => {
        const world = new World();
        const caller = world.caller();
        caller.write(parse("", "PREPARE x"), flush());
        expect(caller.take()).toEqual(["E:ML004"]);
        caller.write(bind(""), execute(), sync());
        expect(caller.take()).toEqual(["Z:I"]);
    });

    it("does not run a refused statement that follows a Flush", async () => {
        const world = new World();
        const caller = world.caller();
        caller.write(parse("", "INSERT 1"), bind(""), execute(), flush());
        await world.run();
        caller.write(parse("", "PREPARE x"), bind(""), execute(), sync());
        await world.run();
        expect(caller.take().at(-2)).toBe("E:ML004");
        expect(world.server().executed).not.toContain("PREPARE x");
        expect(world.server().committed).toEqual([]);
    });

    it("answers a Sync alone without an endpoint", () => {
        const world = new World();
        const caller = world.caller();
        caller.write(sync());
        expect(caller.take()).toEqual(["Z:I"]);
    });
});

describe("COPY", () => {
    it("passes data through and reads the position behind it", async () => {
        const world = new World();
        const caller = world.caller();
        caller.query("COPY t FROM STDIN");
        await world.run();
        expect(caller.take()).toEqual(["G"]);
        caller.write(message("d", "row"), message("c", ""));
        await world.run();
        expect(caller.take()).toEqual(["C:COPY 1", "Z:I"]);
        expect(caller.token).toBe("1:110");
        caller.query("SELECT 1");
        await world.run();
        expect(caller.take()).toEqual(["T", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
    });

    it("drops data that arrives after the endpoint ended it", async () => {
        const world = new World();
        const caller = world.caller();
        caller.query("FAIL");
        caller.write(message("d", "row"), message("c", ""));
        await world.run();
        expect(caller.take()).toEqual(["E:42601", "Z:I"]);
    });
});

describe("back-pressure", () => {
    it("stops reading from the endpoint while the caller is full, and the caller while its queue is", async () => {
        const world = new World();
        const caller = world.caller();
        await world.run();
        caller.accepting = false;
        caller.query("SELECT 1");
        await world.settle();
        const [session] = world.busy();
        session!.work(1);
        expect(session!.paused).toBe(true);
        for (let index = 0; index < 200; index++) {
            caller.query("SELECT 2");
        }
        expect(caller.paused).toBe(true);
        caller.drain();
        await world.run();
        expect(caller.take().filter(item => item === "Z:I").length).toBe(201);
        expect(caller.paused).toBe(false);
    });
});
