import { describe, expect, it } from "vitest";
import type { DrainReport } from "../src/drain.js";
import { World } from "./world.js";

describe("drain", () => {
    it("cuts nothing: idle callers leave, requests and transactions end first", async () => {
        const world = new World();
        const [idle, busy, open] = [world.caller(), world.caller(), world.caller()];
        open.query("BEGIN");
        await world.run();
        busy.query("INSERT 1");
        await world.settle();
        let report: DrainReport | undefined;
        void world.proxy.drain(1_000).then(value => {
            report = value;
        });
        expect(idle.take()).toEqual(["E:57P01"]);
        expect(world.caller().take()).toEqual(["E:57P01"]);
        busy.query("INSERT 2");
        await world.run();
        expect(busy.take()).toEqual(["C:INSERT 0 1", "Z:I", "C:INSERT 0 1", "Z:I", "E:57P01"]);
        open.query("INSERT 3");
        open.query("COMMIT");
        await world.run();
        expect(open.take()).toEqual(["C:BEGIN", "Z:T", "C:INSERT 0 1", "Z:T", "C:COMMIT", "Z:I", "E:57P01"]);
        expect(report).toMatchObject({ closed: 3, cut: 0 });
        expect(world.server().committed.length).toBe(3);
    });

    it("cuts what is left at its deadline and reports how many", async () => {
        const world = new World();
        const open = world.caller();
        open.query("BEGIN");
        open.query("INSERT 1");
        await world.run();
        let report: DrainReport | undefined;
        void world.proxy.drain(500).then(value => {
            report = value;
        });
        await world.advance(499);
        expect(open.closedByProxy).toBe(false);
        await world.advance(1);
        expect(report).toMatchObject({ closed: 0, cut: 1 });
        expect(world.server().committed).toEqual([]);
    });
});

describe("cancel", () => {
    it("reaches only the caller's own running statement", async () => {
        const world = new World();
        const [first, second] = [world.caller(), world.caller()];
        await world.run();
        first.query("INSERT 1");
        second.query("INSERT 2");
        await world.settle();
        const session = world.sessions().find(item => Buffer.from(item.inbox[0]!.bytes).includes("INSERT 1"))!;
        expect(world.proxy.cancel(first.processId, first.secretKey + 1)).toBe(false);
        expect(world.proxy.cancel(first.processId, first.secretKey)).toBe(true);
        expect(world.server().cancelled).toEqual([session.processId]);
        await world.run();
        expect(world.proxy.cancel(first.processId, first.secretKey)).toBe(false);
        expect(session.open).toBe(false);
    });

    it("that stops the position query instead of the write does not leave the outcome open", async () => {
        const world = new World();
        const caller = world.caller();
        await world.run();
        caller.query("INSERT 1");
        world.server().lateCancel = true;
        await world.run();
        expect(caller.take()).toEqual(["C:INSERT 0 1", "Z:I"]);
        expect(caller.token).toBe("1:110");
    });

    it("does not reach a connection that meanwhile serves somebody else", async () => {
        const world = new World();
        world.limit = 1;
        const [first, second] = [world.caller(), world.caller()];
        first.query("INSERT 1");
        await world.run();
        second.query("INSERT 2");
        await world.settle();
        expect(world.proxy.cancel(first.processId, first.secretKey)).toBe(false);
        expect(world.server().cancelled).toEqual([]);
    });
});
