import type { LogEntry } from "@medlarledge/protocol";
import fc from "fast-check";
import { expect, test } from "vitest";
import {
    ConsensusStore,
    mergeBatches,
    type PersistBatch,
    type RecoveredState,
    type Snapshot,
    type StoreError,
} from "../src/index.js";
import { fileError, MemoryFiles } from "./memory-files.js";

const FOLDER = "/data";
const MEMBERS = { voters: ["a", "b", "c"], learners: [] };
const SEGMENT = "segment-0000000001";

function entry(index: number, term = 1, payload: Uint8Array = Buffer.from(`payload ${index}`)): LogEntry {
    return { index, term, payload: new Uint8Array(payload) };
}

function entries(from: number, to: number, term = 1): LogEntry[] {
    return Array.from({ length: to - from + 1 }, (_, position) => entry(from + position, term));
}

function snapshotAt(lastIndex: number, lastTerm = 1): Snapshot {
    return { lastIndex, lastTerm, members: MEMBERS, data: new Uint8Array(Buffer.from(`state ${lastIndex}`)) };
}

async function reopen(files: MemoryFiles): Promise<{ store: ConsensusStore; recovered: RecoveredState; }> {
    const opened = await ConsensusStore.open(FOLDER, files);
    if (!opened.ok) {
        throw new Error(JSON.stringify(opened.error));
    }
    return opened;
}

async function openError(files: MemoryFiles): Promise<StoreError | undefined> {
    const opened = await ConsensusStore.open(FOLDER, files);
    return opened.ok ? undefined : opened.error;
}

/** Creates a store of member a with entries 1 to 3, each in its own batch. */
async function filledStore(): Promise<{ files: MemoryFiles; store: ConsensusStore; }> {
    const files = new MemoryFiles();
    const { store } = await reopen(files);
    expect(await store.initialize("a", MEMBERS)).toBeUndefined();
    expect(await store.persist({ hardState: { term: 1, votedFor: "b" }, entries: [entry(1)] })).toBeUndefined();
    expect(await store.persist({ entries: [entry(2)] })).toBeUndefined();
    expect(await store.persist({ entries: [entry(3)] })).toBeUndefined();
    return { files, store };
}

function indexes(recovered: RecoveredState): readonly number[] {
    return recovered.entries.map(({ index }) => index);
}

test("an empty folder is fresh until it is initialized, so a host without its disk cannot reuse its id", async () => {
    const files = new MemoryFiles();
    const { store, recovered } = await reopen(files);
    expect(recovered).toMatchObject({ fresh: true, memberId: undefined, entries: [] });
    expect(await store.persist({ entries: [entry(1)] })).toEqual({ kind: "notInitialized" });
    const second = await reopen(files);
    expect(await second.store.initialize("a")).toBeUndefined();
    files.crash();
    const third = await reopen(files);
    expect(third.recovered).toMatchObject({ fresh: false, memberId: "a", snapshot: undefined });
    expect(await third.store.initialize("b")).toEqual({ kind: "alreadyInitialized", memberId: "a" });
});

test("all acknowledged changes survive a crash", async () => {
    const { files, store } = await filledStore();
    const withMembers = { ...entry(3, 2), members: { voters: ["a", "b"], learners: ["d"] } };
    await store.persist({ hardState: { term: 2, votedFor: undefined }, truncateFrom: 2, entries: entries(2, 2, 2) });
    await store.persist({ entries: [withMembers] });
    files.crash();
    const { recovered } = await reopen(files);
    expect(recovered).toEqual({
        fresh: false,
        memberId: "a",
        hardState: { term: 2, votedFor: undefined },
        snapshot: { lastIndex: 0, lastTerm: 0, members: MEMBERS, data: new Uint8Array() },
        entries: [entry(1), entry(2, 2), withMembers],
    });
});

test("a batch costs one write and one sync", async () => {
    const { files, store } = await filledStore();
    files.operations.length = 0;
    await store.persist({ truncateFrom: 3, entries: entries(3, 50) });
    expect(files.operations).toEqual(["write", "sync"]);
});

test("a torn unsynced write of any length is truncated, and the store stays usable", async () => {
    const lastBytes = 24 + 2 * (28 + 9);
    for (let kept = 0; kept < lastBytes; kept += 1) {
        const { files, store } = await filledStore();
        files.fault = operation => {
            if (operation === "sync") {
                throw fileError("EIO");
            }
        };
        await store.persist({ entries: entries(4, 5) });
        files.fault = () => undefined;
        files.crash(kept);
        const { store: next, recovered } = await reopen(files);
        expect(indexes(recovered)).toEqual([1, 2, 3]);
        expect(await next.persist({ entries: [entry(4, 2)] })).toBeUndefined();
        files.crash();
        expect((await reopen(files)).recovered.entries.at(-1)).toEqual(entry(4, 2));
    }
});

test("a last write whose sectors reached the disk out of order is truncated", async () => {
    const { files, store } = await filledStore();
    await store.persist({ entries: [entry(4, 1, Buffer.alloc(2_000, 7))] });
    files.corrupt(SEGMENT, bytes => bytes.fill(0, 512, 1_024));
    expect(indexes((await reopen(files)).recovered)).toEqual([1, 2, 3]);
});

test("a flipped bit anywhere in synced data is reported as an error on opening", async () => {
    const { files } = await filledStore();
    const length = (await files.read(`${FOLDER}/${SEGMENT}`)).byteLength;
    for (let position = 0; position < length; position += 1) {
        const { files: damaged } = await filledStore();
        damaged.corrupt(SEGMENT, bytes => {
            bytes[position] = bytes[position]! ^ (1 << position % 8);
            return bytes;
        });
        expect(await openError(damaged), `byte ${position}`).toMatchObject({ kind: "corrupted" });
    }
});

test("zeros in the middle of synced data are reported as corruption, not as a torn write", async () => {
    const { files, store } = await filledStore();
    await store.persist({ entries: [entry(4, 1, Buffer.alloc(2_000, 7))] });
    await store.persist({ entries: [entry(5)] });
    files.corrupt(SEGMENT, bytes => bytes.fill(0, 512, 1_024));
    expect(await openError(files)).toMatchObject({ kind: "corrupted" });
});

test("a corrupted state file is reported as an error on opening", async () => {
    const { files } = await filledStore();
    files.corrupt("state", bytes => bytes.subarray(0, bytes.byteLength - 1));
    expect(await openError(files)).toMatchObject({ kind: "corrupted", file: `${FOLDER}/state` });
});

test("a snapshot replaces the entries up to its index and keeps the later ones", async () => {
    const { files, store } = await filledStore();
    expect(await store.saveSnapshot(snapshotAt(2))).toBeUndefined();
    expect(await store.persist({ entries: [entry(4)] })).toBeUndefined();
    files.crash();
    const { recovered } = await reopen(files);
    expect(files.names()).toEqual(["segment-0000000002", "snapshot-0000000000000002", "state"]);
    expect(recovered.snapshot).toEqual(snapshotAt(2));
    expect(indexes(recovered)).toEqual([3, 4]);
});

test("a received snapshot removes entries that do not follow it", async () => {
    for (const snapshot of [snapshotAt(2, 2), snapshotAt(9, 2)]) {
        const { files, store } = await filledStore();
        await store.saveSnapshot(snapshot);
        files.crash();
        const { recovered } = await reopen(files);
        expect(recovered).toMatchObject({ snapshot, entries: [] });
    }
});

test("a crash at any step of saving a snapshot leaves the state from before or after it", async () => {
    let finished = false;
    for (let steps = 0; !finished; steps += 1) {
        const { files, store } = await filledStore();
        let left = steps;
        files.fault = () => {
            left -= 1;
            if (left < 0) {
                throw fileError("EIO");
            }
        };
        finished = await store.saveSnapshot(snapshotAt(2)) === undefined;
        files.fault = () => undefined;
        files.crash();
        const { recovered } = await reopen(files);
        const isOld = recovered.snapshot?.lastIndex === 0;
        expect(indexes(recovered)).toEqual(isOld ? [1, 2, 3] : [3]);
        expect(recovered.hardState).toEqual({ term: 1, votedFor: "b" });
        expect(files.names()).toHaveLength(isOld ? 2 : 3);
    }
});

test("a truncated or corrupted snapshot is reported as an error on opening", async () => {
    const changes = [
        (bytes: Buffer) => bytes.subarray(0, bytes.byteLength / 2),
        (bytes: Buffer) => bytes.fill(1, 20, 21),
        () => Buffer.alloc(0),
    ];
    for (const change of changes) {
        const { files, store } = await filledStore();
        await store.saveSnapshot(snapshotAt(2));
        files.corrupt("snapshot-0000000000000002", change);
        expect(await openError(files)).toMatchObject({ kind: "corruptedSnapshot" });
    }
});

test("each missing file, including the state file, is reported as an error on opening", async () => {
    for (const name of ["state", "segment-0000000002", "snapshot-0000000000000002"]) {
        const { files, store } = await filledStore();
        await store.saveSnapshot(snapshotAt(2));
        await files.remove(`${FOLDER}/${name}`);
        expect(await openError(files)).toEqual({ kind: "missingFile", file: `${FOLDER}/${name}` });
    }
});

test("a full disk and a failed sync are distinguished, and no later write is attempted", async () => {
    const cases = [
        { operation: "write", code: "ENOSPC", kind: "diskFull" },
        { operation: "sync", code: "EIO", kind: "syncFailed" },
        { operation: "sync", code: "ENOSPC", kind: "syncFailed" },
        { operation: "write", code: "EIO", kind: "failed" },
    ];
    for (const { operation, code, kind } of cases) {
        const { files, store } = await filledStore();
        files.fault = attempted => {
            if (attempted === operation) {
                throw fileError(code);
            }
        };
        const error = await store.persist({ entries: [entry(4)] });
        expect(error).toMatchObject({ kind });
        files.fault = () => undefined;
        files.operations.length = 0;
        expect(await store.persist({ entries: [entry(4)] })).toEqual({ kind: "stopped", cause: error });
        expect(await store.saveSnapshot(snapshotAt(2))).toEqual({ kind: "stopped", cause: error });
        expect(files.operations).toEqual([]);
    }
});

test("a crash at any step of the initialization leaves a fresh or a complete store", async () => {
    let finished = false;
    for (let steps = 0; !finished; steps += 1) {
        const files = new MemoryFiles();
        const { store } = await reopen(files);
        let left = steps;
        files.fault = () => {
            left -= 1;
            if (left < 0) {
                throw fileError("EIO");
            }
        };
        finished = await store.initialize("a", MEMBERS) === undefined;
        files.fault = () => undefined;
        files.crash();
        const { store: next, recovered } = await reopen(files);
        expect(recovered.memberId).toBe(recovered.fresh ? undefined : "a");
        if (recovered.fresh) {
            expect(await next.initialize("a", MEMBERS)).toBeUndefined();
        }
    }
});

test("entries that do not follow the end of the log are refused", async () => {
    const { store } = await filledStore();
    expect(await store.persist({ entries: [entry(5)] })).toEqual({ kind: "notContiguous", index: 5, lastIndex: 3 });
});

test("merged batches result in the same state as the batches one after another", async () => {
    const steps = fc.array(fc.record({ back: fc.nat(3), count: fc.nat(3) }), { minLength: 1, maxLength: 6 });
    await fc.assert(
        fc.asyncProperty(steps, async choices => {
            const batches = toBatches(choices);
            const [one, many] = [await filledStore(), await filledStore()];
            await one.store.persist(mergeBatches(batches));
            for (const batch of batches) {
                await many.store.persist(batch);
            }
            expect((await reopen(one.files)).recovered).toEqual((await reopen(many.files)).recovered);
        }),
        { seed: 7, numRuns: 200 },
    );
});

function toBatches(choices: readonly { back: number; count: number; }[]): readonly PersistBatch[] {
    let last = 3;
    return choices.map(({ back, count }, position) => {
        const from = Math.max(1, last + 1 - back);
        const term = position + 2;
        last = from + count - 1;
        return {
            hardState: { term, votedFor: undefined },
            entries: entries(from, last, term),
            ...back > 0 ? { truncateFrom: from } : {},
        };
    });
}

// Guards against losing entries that a restarted member has acknowledged: it found them in the file, where the former
// process had written them without a sync.
test("what a store finds on opening survives a later power loss", async () => {
    const { files, store } = await filledStore();
    files.fault = operation => {
        if (operation === "sync") {
            throw fileError("EIO");
        }
    };
    expect(await store.persist({ entries: [entry(4)] })).toMatchObject({ kind: "syncFailed" });
    files.fault = () => undefined;
    const found = indexes((await reopen(files)).recovered);
    files.crash();
    expect(indexes((await reopen(files)).recovered)).toEqual(found);
});

// Guards against file names that only the former process has seen, such as a snapshot's.
test("names that a store finds on opening survive a later power loss", async () => {
    const { files, store } = await filledStore();
    files.fault = operation => {
        if (operation === "syncFolder") {
            throw fileError("EIO");
        }
    };
    expect(await store.persist({ hardState: { term: 7, votedFor: "c" }, entries: [] })).toMatchObject({
        kind: "syncFailed",
    });
    files.fault = () => undefined;
    const { hardState } = (await reopen(files)).recovered;
    files.crash();
    expect((await reopen(files)).recovered.hardState).toEqual(hardState);
});
