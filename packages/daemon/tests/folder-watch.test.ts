import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, describe, expect, it } from "vitest";
import { type FolderEvent, FolderWatch } from "../src/folder-watch.js";

const watches: FolderWatch[] = [];

afterEach(async () => {
    await Promise.all(watches.splice(0).map(watch => watch.close()));
});

describe("FolderWatch", () => {
    it("reports a half-saved folder as invalid, never as a change, and the complete one once", async () => {
        const folder = await mkdtemp(join(tmpdir(), "medlarledge-folder-"));
        await writeFile(join(folder, "10-a.jsonc"), `{ "number": 1 }`);
        const watch = new FolderWatch(folder, "jan");
        watches.push(watch);
        const events: FolderEvent[] = [];
        void watch.events.observe(event => void events.push(event));
        watch.start();
        await expect.poll(() => events.length, { timeout: 5_000 }).toBe(1);
        expect(events[0]).toMatchObject({ kind: "changed", change: { number: 1, operator: "jan" } });
        await writeFile(join(folder, "20-b.jsonc"), `{ "number": 2, "databases": {`);
        await expect.poll(() => events.length, { timeout: 5_000 }).toBe(2);
        expect(events[1]).toMatchObject({ kind: "invalid", findings: [{ file: "20-b.jsonc" }, {}] });
        await writeFile(join(folder, "20-b.jsonc"), `{ "number": 2, "databases": {} }`);
        await expect.poll(() => events.length, { timeout: 5_000 }).toBe(3);
        expect(events[2]).toMatchObject({ kind: "changed", change: { number: 2 } });
    });
});
