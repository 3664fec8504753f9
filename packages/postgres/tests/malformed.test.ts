import fc from "fast-check";
import pg from "pg";
import { serialize } from "pg-protocol";
import { afterAll, beforeAll, describe, expect, it, vi } from "vitest";
import { findFrontendFault, FrameReader, messages, readStartupPacket } from "../src/index.js";
import { eventually, type Fixture, RawCaller, startListener } from "./listener-fixture.js";

const SEED = 8_112;
const RUNS = 3_000;
const MAX_MESSAGE_BYTES = 4_096;

const STARTUP = serialize.startup({ user: "ann", database: "orders" });
const VALID = [
    STARTUP,
    messages.query("SELECT 1"),
    messages.parse("a", "SELECT $1"),
    serialize.bind({ statement: "a", values: ["x"] }),
    serialize.describe({ type: "S", name: "a" }),
    serialize.execute(),
    messages.sync(),
    serialize.password("p"),
    messages.cancelRequest(1, 2),
    serialize.requestSsl(),
].map((bytes) => Buffer.from(bytes));

const valid = fc.constantFrom(...VALID);
const truncated = fc.tuple(valid, fc.nat()).map(([bytes, end]) => bytes.subarray(0, end % bytes.length));
const wrongLength = fc.tuple(valid, fc.integer({ min: -(2 ** 31), max: 2 ** 31 - 1 }), fc.boolean())
    .map(([bytes, length, isSmall]) => {
        const changed = Buffer.from(bytes);
        changed.writeInt32BE(isSmall ? length % 64 : length, changed[0] === 0 ? 0 : 1);
        return changed;
    });
const flipped = fc.tuple(valid, fc.nat(), fc.nat({ max: 255 })).map(([bytes, place, value]) => {
    const changed = Buffer.from(bytes);
    changed[place % changed.length] = value;
    return changed;
});
const oversized = fc.nat({ max: 2 * MAX_MESSAGE_BYTES }).map((length) => messages.query("x".repeat(length)));
const random = fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes));
const part = fc.oneof(valid, truncated, wrongLength, flipped, oversized, random);
const sequence = fc.record({
    isStarted: fc.boolean(),
    hasPassword: fc.boolean(),
    parts: fc.array(part, { minLength: 1, maxLength: 5 }).map((parts) => Buffer.concat(parts)),
});

/** What a correct server does with these bytes behind the start-up, stated without sockets. */
function closesAfterStart(bytes: Buffer): boolean {
    const read = new FrameReader(MAX_MESSAGE_BYTES).push(bytes);
    return "kind" in read || read.some((frame) => findFrontendFault(frame) !== undefined || frame.type === 0x58);
}

describe("malformed bytes", () => {
    let fixture: Fixture;
    let withPassword: Fixture;
    let bystander: pg.Client;
    const escaped: unknown[] = [];
    const onEscaped = (error: unknown): void => void escaped.push(error);

    beforeAll(async () => {
        process.on("uncaughtException", onEscaped);
        process.on("unhandledRejection", onEscaped);
        fixture = await startListener({ maxMessageBytes: MAX_MESSAGE_BYTES, maxCallers: 1_000 });
        withPassword = await startListener({ authenticate: (_, password) => Promise.resolve(password === "secret") });
        // pg-gateway prints what it could not decode; nothing of that kind may reach it.
        vi.spyOn(console, "error").mockImplementation((...values) => void escaped.push(values));
        bystander = new pg.Client({ host: "127.0.0.1", port: fixture.port, user: "b", database: "orders", ssl: false });
        await bystander.connect();
    });

    afterAll(async () => {
        process.off("uncaughtException", onEscaped);
        process.off("unhandledRejection", onEscaped);
        vi.restoreAllMocks();
        await bystander.end();
        await Promise.all([fixture.listener.close(), withPassword.listener.close()]);
    });

    it(`closes only that connection or waits, for ${RUNS} sequences`, async () => {
        // Guards against one caller's bytes that end the process or disturb another caller.
        let runs = 0;
        let closedByServer = 0;
        await fc.assert(
            fc.asyncProperty(sequence, async ({ isStarted, hasPassword, parts }) => {
                const target = hasPassword ? withPassword : fixture;
                const before = target.faults.length;
                const raw = new RawCaller(target.port);
                raw.socket.write(isStarted ? Buffer.concat([STARTUP, parts]) : parts);
                if (isStarted && !hasPassword && closesAfterStart(parts)) {
                    await raw.closed;
                    closedByServer++;
                }
                else {
                    // Half-closing ends a server that still waits; it must close then, and not hang.
                    raw.socket.end();
                    await raw.closed;
                }
                const row = await bystander.query<{ n: number; }>("SELECT 1");
                runs++;
                expect(row.rows).toHaveLength(1);
                expect(target.faults.length - before).toBeLessThanOrEqual(1);
                expect(escaped).toEqual([]);
            }),
            { seed: SEED, numRuns: RUNS },
        );
        expect(runs).toBeGreaterThanOrEqual(2_000);
        expect(closedByServer).toBeGreaterThan(300);
        expect(fixture.faults.length).toBeGreaterThan(300);
        expect(withPassword.callers).toEqual([]);
        await eventually(() => [fixture.listener.callers, withPassword.listener.callers]).toEqual([1, 0]);
    });

    it("answers 08P01 and reports once", async () => {
        const before = fixture.faults.length;
        const raw = new RawCaller(fixture.port);
        raw.socket.write(Buffer.concat([STARTUP, Buffer.from([0x51, 0, 0, 0, 1])]));
        await raw.closed;
        expect(raw.received.toString("latin1")).toContain("08P01");
        expect(fixture.faults.length - before).toBe(1);
    });

    it("reads every prefix of a start-up without an exception", () => {
        for (let end = 0; end < STARTUP.length; end++) {
            expect(readStartupPacket(STARTUP.subarray(0, end))).toBeUndefined();
        }
        expect(readStartupPacket(STARTUP)?.packet.kind).toBe("startup");
    });
});
