import { describe, expect, it } from "vitest";
import { extended, message } from "./fake-wire.js";
import { ProxyHarness } from "./proxy-harness.js";

const { parse, bind, describe: describeStatement, execute, close, sync, flush } = extended;

describe("the extended protocol", () => {
    it("skips to Sync after an error and does not define the skipped statements", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        caller.write(parse("f", "FAIL"), bind("f"), execute(), parse("g", "SELECT 2"), sync());
        caller.write(bind("g"), execute(), sync());
        await harness.run();
        expect(caller.takeReceived()).toEqual(["1", "2", "E:42601", "Z:I", "E:26000", "Z:I"]);
    });

    it("responds in order when a connection has prepared one statement of the request but not another", async () => {
        const harness = new ProxyHarness();
        harness.limit = 1;
        const [first, second] = [harness.caller(), harness.caller()];
        first.write(parse("a", "SELECT 1"), sync());
        await harness.run();
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
        await harness.run();
        expect(second.takeReceived()).toEqual(
            ["1", "2", "D:SELECT 1", "C:SELECT 1", "1", "2", "D:SELECT 2", "C:SELECT 1", "3", "E:26000", "Z:I"],
        );
    });

    it("prepares again on a connection that does not have the statement", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        caller.write(parse("s", "SELECT 1"), sync());
        await harness.run();
        for (const session of harness.sessions()) {
            session.cut();
        }
        await harness.advance(50);
        caller.takeReceived();
        caller.write(bind("s"), execute(), sync());
        await harness.run();
        expect(caller.takeReceived()).toEqual(["2", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
    });

    it("separates the unnamed statements of callers that share a connection", async () => {
        const harness = new ProxyHarness();
        harness.limit = 1;
        const [first, second] = [harness.caller(), harness.caller()];
        first.write(parse("", "SELECT 1"), sync());
        await harness.run();
        second.write(parse("", "SELECT 2"), sync());
        await harness.run();
        first.write(bind(""), execute(), sync());
        await harness.run();
        expect(first.takeReceived()).toEqual(["1", "Z:I", "2", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
        const third = harness.caller();
        third.write(bind(""), execute(), sync());
        await harness.run();
        expect(third.takeReceived()).toEqual(["E:26000", "Z:I"]);
    });

    it("refuses a statement name that is already in use, as PostgreSQL does", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        caller.write(parse("s", "SELECT 1"), sync());
        caller.write(parse("s", "SELECT 2"), sync());
        await harness.run();
        expect(caller.takeReceived()).toEqual(["1", "Z:I", "E:42P05", "Z:I"]);
    });

    it("bounds the number of prepared statements of a connection", async () => {
        const harness = new ProxyHarness();
        harness.limit = 1;
        const caller = harness.caller();
        for (let index = 0; index < 300; index++) {
            caller.write(parse(`s${index}`, `SELECT ${index}`), sync());
            await harness.run();
        }
        expect(harness.sessions()[0]!.prepared.size).toBeLessThanOrEqual(200);
        caller.takeReceived();
        caller.write(bind("s0"), execute(), bind("s299"), execute(), sync());
        await harness.run();
        expect(caller.takeReceived()).toEqual([
            "2",
            "D:SELECT 0",
            "C:SELECT 1",
            "2",
            "D:SELECT 299",
            "C:SELECT 1",
            "Z:I",
        ]);
    });

    it("responds before Sync when the caller sends Flush", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        caller.write(parse("s", "INSERT 1"), describeStatement("s"), flush());
        await harness.run();
        expect(caller.takeReceived()).toEqual(["1", "t", "n"]);
        caller.write(bind("s"), execute(), sync());
        await harness.run();
        expect(caller.takeReceived()).toEqual(["2", "C:INSERT 0 1", "Z:I"]);
        expect(caller.token).toBe("1:110");
    });

    it("reports an error before Sync and ReadyForQuery at the Sync", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        caller.write(parse("", "PREPARE x"), flush());
        expect(caller.takeReceived()).toEqual(["E:ML004"]);
        caller.write(bind(""), execute(), sync());
        expect(caller.takeReceived()).toEqual(["Z:I"]);
    });

    it("does not run a refused statement that follows a Flush", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        caller.write(parse("", "INSERT 1"), bind(""), execute(), flush());
        await harness.run();
        caller.write(parse("", "PREPARE x"), bind(""), execute(), sync());
        await harness.run();
        expect(caller.takeReceived().at(-2)).toBe("E:ML004");
        expect(harness.server().executed).not.toContain("PREPARE x");
        expect(harness.server().committed).toEqual([]);
    });

    it("responds to a single Sync without an endpoint", () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        caller.write(sync());
        expect(caller.takeReceived()).toEqual(["Z:I"]);
    });
});

describe("COPY", () => {
    it("forwards the data and reads the position after it", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        caller.query("COPY t FROM STDIN");
        await harness.run();
        expect(caller.takeReceived()).toEqual(["G"]);
        caller.write(message("d", "row"), message("c", ""));
        await harness.run();
        expect(caller.takeReceived()).toEqual(["C:COPY 1", "Z:I"]);
        expect(caller.token).toBe("1:110");
        caller.query("SELECT 1");
        await harness.run();
        expect(caller.takeReceived()).toEqual(["T", "D:SELECT 1", "C:SELECT 1", "Z:I"]);
    });

    it("ignores data that arrives after the endpoint ended it with an error", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        caller.query("FAIL");
        caller.write(message("d", "row"), message("c", ""));
        await harness.run();
        expect(caller.takeReceived()).toEqual(["E:42601", "Z:I"]);
    });
});

describe("back-pressure", () => {
    it("pauses the endpoint while the caller's buffer is full, and the caller while its queue is full", async () => {
        const harness = new ProxyHarness();
        const caller = harness.caller();
        await harness.run();
        caller.acceptsData = false;
        caller.query("SELECT 1");
        await harness.flushMicrotasks();
        const [session] = harness.busy();
        session!.processMessages(1);
        expect(session!.paused).toBe(true);
        for (let index = 0; index < 200; index++) {
            caller.query("SELECT 2");
        }
        expect(caller.paused).toBe(true);
        caller.drain();
        await harness.run();
        expect(caller.takeReceived().filter(item => item === "Z:I").length).toBe(201);
        expect(caller.paused).toBe(false);
    });
});
