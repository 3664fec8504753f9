import { mkdtemp, readdir, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, test, vi } from "vitest";
import { SavedStateFile } from "../src/saved-state-file.js";

const STATE = {
    configuration: { number: 7, digest: "d", operator: "o", files: [{ name: "f", text: "{}" }] },
    records: [],
    orders: [{ group: "orders", endpoint: "a", fence: 3 }],
};

// Guards against a second without endpoints and configuration after every restart of all processes.
test("the state that was saved before a restart is loaded after it", async () => {
    const folder = await mkdtemp(join(tmpdir(), "medlarledge-"));
    const file = new SavedStateFile(folder, reason => expect.fail(reason));
    void file.save(() => STATE, false);
    await vi.waitUntil(async () => (await readdir(folder)).includes("last-known.json"), { timeout: 5_000 });
    const read = await new SavedStateFile(folder, reason => expect.fail(reason)).load();
    expect(read).toEqual(STATE);
});

// Guards against a host that does not start because a power loss damaged the file.
test("a damaged file is treated as missing and is reported", async () => {
    const folder = await mkdtemp(join(tmpdir(), "medlarledge-"));
    await writeFile(join(folder, "last-known.json"), '{"records":[{"id":');
    const reasons: string[] = [];
    const read = await new SavedStateFile(folder, reason => reasons.push(reason)).load();
    expect(read.records).toEqual([]);
    expect(reasons).toHaveLength(1);
});

// Guards against entry hosts that receive a configuration of another shape, which an earlier version stored.
test.each(["7", "null", '{"number":"7","files":[]}', '{"number":7,"digest":"d","operator":"o","files":[null]}'])(
    "a file with the configuration %s is treated as missing and is reported",
    async configuration => {
        const folder = await mkdtemp(join(tmpdir(), "medlarledge-"));
        const text = `{"configuration":${configuration},"records":[],"orders":[]}`;
        await writeFile(join(folder, "last-known.json"), text);
        const reasons: string[] = [];
        const read = await new SavedStateFile(folder, reason => reasons.push(reason)).load();
        expect(read.configuration).toBeUndefined();
        expect(reasons).toEqual(["the file does not contain a saved state"]);
    },
);

// Guards against an outdated file for as long as nothing changes, after the disk was full for a moment.
test("a write that failed is repeated", async () => {
    const parent = await mkdtemp(join(tmpdir(), "medlarledge-"));
    const folder = join(parent, "data");
    await writeFile(folder, "a file where the folder should be");
    const reasons: string[] = [];
    const file = new SavedStateFile(folder, reason => reasons.push(reason));
    void file.save(() => STATE, false);
    await vi.waitUntil(() => reasons.length > 0, { timeout: 5_000 });
    await rm(folder);
    await vi.waitUntil(async () => (await readdir(parent)).includes("data"), { timeout: 5_000 });
    await vi.waitUntil(async () => (await readdir(folder)).includes("last-known.json"), { timeout: 5_000 });
    expect(await new SavedStateFile(folder, reason => expect.fail(reason)).load()).toEqual(STATE);
}, 20_000);
