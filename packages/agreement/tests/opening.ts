import type { Members } from "@medlarledge/protocol";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
    type ConsensusEffect,
    ConsensusMember,
    ConsensusStore,
    type FileSystem,
    nodeFileSystem,
} from "../src/index.js";

const MEMBERS: Members = { voters: ["a"], learners: [] };
const OPTIONS = {
    id: "a",
    heartbeatMs: 50,
    electionMs: 300,
    snapshotEvery: 512,
    snapshotEveryBytes: 1024 * 1024,
    maxBatchEntries: 256,
    maxBatchBytes: 64 * 1024,
    snapshotChunkBytes: 262_144,
    seed: 1,
};
const PAYLOAD_BYTES = 200;
const SNAPSHOT_BYTES = 65_536;

/** Measurements of opening a store once: bytes read, entries recovered after the snapshot, and time. */
export interface OpenResult {
    readonly bytes: number;
    readonly entries: number;
    readonly milliseconds: number;
}

/** Commits a number of entries on a single-member group, and writes its effects to the store. */
async function runChanges(store: ConsensusStore, changes: number): Promise<void> {
    await store.initialize("a", MEMBERS);
    const member = new ConsensusMember(OPTIONS);
    const hardState = { term: 0, votedFor: undefined };
    const snapshot = { lastIndex: 0, lastTerm: 0, members: MEMBERS, data: new Uint8Array() };
    const recovered = { fresh: false, memberId: "a", hardState, snapshot, entries: [] };
    const execute = async (effects: readonly ConsensusEffect[]): Promise<void> => {
        for (const effect of effects) {
            if (effect.kind === "persist" || effect.kind === "saveSnapshot") {
                await (effect.kind === "persist" ? store.persist(effect) : store.saveSnapshot(effect.snapshot));
                await execute(member.handle({ kind: "persisted", batch: effect.batch }, 1_000));
            }
            if (effect.kind === "takeSnapshot") {
                const data = new Uint8Array(SNAPSHOT_BYTES);
                await execute(member.handle({ kind: "snapshotTaken", index: effect.index, data }, 1_000));
            }
        }
    };
    await execute(member.handle({ kind: "start", recovered }, 0));
    await execute(member.handle({ kind: "tick" }, 1_000));
    for (let requestId = 1; requestId <= changes; requestId += 1) {
        await execute(
            member.handle({ kind: "propose", requestId, payload: new Uint8Array(PAYLOAD_BYTES) }, 1_000),
        );
    }
}

/** The file system without syncs, to prepare the folders faster. */
const UNSYNCED: FileSystem = {
    ...nodeFileSystem,
    append: async path => ({ ...await nodeFileSystem.append(path), sync: async () => undefined }),
    syncFolder: async () => undefined,
};

/**
 * Opens one store for each number of changes, in turn and `times` times each, so that noise of the machine affects all
 * of them. Returns the result with the median time for each.
 */
export async function measureOpenings(changes: readonly number[], times: number): Promise<readonly OpenResult[]> {
    const root = await mkdtemp(join(tmpdir(), "medlarledge-opening-"));
    try {
        const folders = changes.map(count => join(root, String(count)));
        for (const [position, count] of changes.entries()) {
            await prepare(folders[position]!, count);
        }
        const openings: OpenResult[][] = folders.map(() => []);
        for (let turn = 0; turn < times; turn += 1) {
            for (const [position, folder] of folders.entries()) {
                openings[position]!.push(await openOnce(folder));
            }
        }
        return openings.map(median);
    }
    finally {
        await rm(root, { recursive: true, force: true });
    }
}

function median(openings: readonly OpenResult[]): OpenResult {
    return openings.toSorted((a, b) => a.milliseconds - b.milliseconds)[Math.floor(openings.length / 2)]!;
}

async function prepare(folder: string, changes: number): Promise<void> {
    const opened = await ConsensusStore.open(folder, UNSYNCED);
    if (!opened.ok) {
        throw new Error(JSON.stringify(opened.error));
    }
    await runChanges(opened.store, changes);
    await opened.store.close();
}

async function openOnce(folder: string): Promise<OpenResult> {
    let bytes = 0;
    const files: FileSystem = {
        ...nodeFileSystem,
        read: async path => {
            const content = await nodeFileSystem.read(path);
            bytes += content.byteLength;
            return content;
        },
    };
    const startedAt = performance.now();
    const opened = await ConsensusStore.open(folder, files);
    const milliseconds = performance.now() - startedAt;
    if (!opened.ok) {
        throw new Error(JSON.stringify(opened.error));
    }
    await opened.store.close();
    return { bytes, entries: opened.recovered.entries.length, milliseconds };
}
