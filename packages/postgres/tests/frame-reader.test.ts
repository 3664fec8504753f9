import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type Frame, type FrameError, FrameReader, messages } from "../src/index.js";

const SEED = 20_261;

function readAll(chunks: readonly Buffer[], maxBytes: number): { frames: Frame[]; error: FrameError | undefined; } {
    const reader = new FrameReader(maxBytes);
    const frames: Frame[] = [];
    for (const chunk of chunks) {
        const read = reader.push(chunk);
        if ("kind" in read) {
            return { frames, error: read };
        }
        frames.push(...read);
    }
    return { frames, error: undefined };
}

function cut(bytes: Buffer, places: readonly number[]): Buffer[] {
    const ends = [...new Set(places.map((place) => place % (bytes.length + 1)))].sort((left, right) => left - right);
    return [...ends, bytes.length].map((end, index) => Buffer.from(bytes.subarray(ends[index - 1] ?? 0, end)));
}

describe("FrameReader", () => {
    it("returns the same messages for every cut at one and at each byte", () => {
        // Guards against losing or doubling bytes at a chunk border, within the header above all.
        const sent = [messages.query("SELECT 1"), messages.sync(), messages.parse("a", "SELECT $1"), messages.sync()];
        const stream = Buffer.concat(sent);
        const places = Array.from({ length: stream.length }, (_, index) => index);
        for (const cuts of [...places.map((place) => [place]), places]) {
            const { frames } = readAll(cut(stream, cuts), 1_000);
            expect(frames.map((frame) => frame.bytes.toString("hex"))).toEqual(
                sent.map((each) => each.toString("hex")),
            );
        }
    });

    it("returns the same messages for every way of cutting a short stream", () => {
        const sent = [messages.sync(), messages.readyForQuery("I"), messages.sync()];
        const stream = Buffer.concat(sent);
        for (let cuts = 0; cuts < 2 ** (stream.length - 1); cuts++) {
            const places = Array.from(stream.keys()).filter((place) => (cuts >> place) % 2 === 1);
            const { frames } = readAll(cut(stream, places.map((place) => place + 1)), 1_000);
            if (!Buffer.concat(frames.map((frame) => frame.bytes)).equals(stream) || frames.length !== sent.length) {
                expect.fail(`cut at ${places.join(", ")}`);
            }
        }
    });

    it("returns the same messages for random streams and cuts", () => {
        const bodies = fc.array(fc.uint8Array({ maxLength: 20_000 }), { maxLength: 6 });
        fc.assert(
            fc.property(bodies, fc.array(fc.nat(), { maxLength: 8 }), (parts, places) => {
                const sent = parts.map((body, index) => {
                    const header = Buffer.from([0x41 + index, 0, 0, 0, 0]);
                    header.writeInt32BE(body.length + 4, 1);
                    return Buffer.concat([header, body]);
                });
                const { frames, error } = readAll(cut(Buffer.concat(sent), places), 30_000);
                expect(error).toBeUndefined();
                expect(frames.map((frame) => frame.type)).toEqual(sent.map((each) => each[0]));
                expect(frames.every((frame, index) => frame.bytes.equals(sent[index]!))).toBe(true);
            }),
            { seed: SEED, numRuns: 500 },
        );
    });

    it("refuses impossible lengths, and stays refused", () => {
        // Guards against waiting for ever, or reserving memory, for a message that cannot come.
        const tooShort = Buffer.from([0x51, 0, 0, 0, 3]);
        const negative = Buffer.from([0x51, 0xff, 0xff, 0xff, 0xff]);
        const tooLong = Buffer.from([0x51, 0, 0, 0, 100]);
        expect(readAll([tooShort], 100).error?.kind).toBe("badLength");
        expect(readAll([negative.subarray(0, 2), negative.subarray(2)], 100).error?.kind).toBe("badLength");
        expect(readAll([tooLong], 100).error?.kind).toBe("tooLarge");
        expect(readAll([tooLong], 101).error).toBeUndefined();
        const reader = new FrameReader(100);
        reader.push(tooShort);
        expect("kind" in reader.push(messages.sync())).toBe(true);
    });

    it("gives views of the chunk", () => {
        const chunk = Buffer.concat([messages.sync(), messages.sync()]);
        const { frames } = readAll([chunk], 100);
        expect(frames.map((frame) => frame.bytes.buffer === chunk.buffer)).toEqual([true, true]);
    });
});
