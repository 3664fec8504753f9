import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { LineWriter, type WriteBytes } from "../src/line-writer.js";

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

// Guards against a process that waits for a log reader that has stopped reading, or grows without bound for it.
test("a reader that does not read costs lines, not memory", () => {
    const writer = new LineWriter(1, () => undefined);
    for (let index = 0; index < 100_000; index++) {
        writer.line(`{"number":${index}}\n`);
    }
    vi.advanceTimersByTime(1_000);
    writer.line("x\n");
    expect(writer.lost).toBeGreaterThan(50_000);
});

// Guards against a process that ends because its log reader is gone (EPIPE).
test("an error of the reader ends the writing, not the process", () => {
    const broken: WriteBytes = (_, done) => done(new Error("EPIPE"), 0);
    const writer = new LineWriter(1, broken);
    writer.line("a\n");
    vi.advanceTimersByTime(100);
    writer.line("b\n");
    expect(writer.lost).toBe(1);
});

// Guards against lines that are cut or reordered when only a part of them is taken at a time.
test("lines that are taken in parts arrive whole and in order", () => {
    let received = "";
    const partial: WriteBytes = (bytes, done) => {
        const taken = bytes.subarray(0, 3);
        received += taken.toString();
        done(undefined, taken.byteLength);
    };
    const writer = new LineWriter(1, partial);
    writer.line("first line\n");
    writer.line("second line\n");
    vi.advanceTimersByTime(100);
    expect(received).toBe("first line\nsecond line\n");
});

// Guards against the last lines of a process that are lost at its end.
test("flush writes what waits", async () => {
    let received = "";
    const writer = new LineWriter(1, (bytes, done) => {
        received += bytes.toString();
        done(undefined, bytes.byteLength);
    });
    writer.line("last\n");
    const flushed = writer.flush();
    await vi.advanceTimersByTimeAsync(10);
    await flushed;
    expect(received).toBe("last\n");
});
