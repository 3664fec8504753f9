import type { LogEntry } from "@medlarledge/protocol";
import type { FileSystem } from "./file-system.js";
import { initialSnapshot } from "./initial-state.js";
import { decodeSegment, type SegmentContent } from "./segment.js";
import {
    decodeSnapshot,
    decodeStateFile,
    NO_SEGMENT,
    segmentName,
    snapshotName,
    STATE_FILE,
    type StateFile,
} from "./state-file.js";
import { StoreFailure, wrapErrors } from "./store-error.js";
import type { PersistBatch, Snapshot } from "./types.js";

/** Content of the files of a folder. */
export interface OpenedFiles {
    readonly state: StateFile | undefined;
    readonly snapshot: Snapshot | undefined;
    readonly entries: readonly LogEntry[];
    /** Length of the current segment in bytes; `batches` is the number of its batches. */
    readonly segmentBytes: number;
    readonly batches: number;
}

const EMPTY_FOLDER: OpenedFiles = { state: undefined, snapshot: undefined, entries: [], segmentBytes: 0, batches: 0 };

/** Reads and verifies the files of a folder, truncates a torn last write, and removes files left over from a crash. */
export async function openFiles(files: FileSystem, folder: string): Promise<OpenedFiles> {
    await wrapErrors("makeFolder", folder, () => files.makeFolder(folder));
    const names = await wrapErrors("list", folder, () => files.list(folder));
    if (!names.includes(STATE_FILE)) {
        checkNoLeftoverFiles(folder, names);
        return EMPTY_FOLDER;
    }
    const state = await readState(files, folder);
    const [snapshot, segment] = await Promise.all([
        readSnapshot(files, folder, state),
        readSegment(files, folder, state),
    ]);
    const entries = replay(`${folder}/${segmentName(state.segment)}`, snapshot, segment.content.batches);
    await removeLeftoverFiles(files, folder, names, state);
    return { state, snapshot, entries, segmentBytes: segment.bytes, batches: segment.content.batches.length };
}

/** The state file is written before all others, so if only others exist, the vote of the member is lost. */
function checkNoLeftoverFiles(folder: string, names: readonly string[]): void {
    if (names.some(name => isStoreFileName(name) && !name.endsWith(".tmp"))) {
        throw new StoreFailure({ kind: "missingFile", file: `${folder}/${STATE_FILE}` });
    }
}

async function readState(files: FileSystem, folder: string): Promise<StateFile> {
    const file = `${folder}/${STATE_FILE}`;
    const decoded = decodeStateFile(await wrapErrors("read", file, () => files.read(file)));
    if (!decoded.ok) {
        throw new StoreFailure({ kind: "corrupted", file, offset: 0, reason: decoded.reason });
    }
    return decoded.state;
}

async function readSnapshot(files: FileSystem, folder: string, state: StateFile): Promise<Snapshot | undefined> {
    if (state.snapshot === undefined) {
        return state.initialMembers === undefined ? undefined : initialSnapshot(state.initialMembers);
    }
    const file = `${folder}/${snapshotName(state.snapshot)}`;
    const decoded = decodeSnapshot(await wrapErrors("read", file, () => files.read(file)));
    if (!decoded.ok) {
        throw new StoreFailure({ kind: "corruptedSnapshot", file, reason: decoded.reason });
    }
    return decoded.snapshot;
}

async function readSegment(
    files: FileSystem,
    folder: string,
    state: StateFile,
): Promise<{ content: SegmentContent; bytes: number; }> {
    if (state.segment === NO_SEGMENT) {
        return { content: { batches: [], tornOffset: undefined, corruption: undefined }, bytes: 0 };
    }
    const file = `${folder}/${segmentName(state.segment)}`;
    const bytes = await wrapErrors("read", file, () => files.read(file));
    const content = decodeSegment(bytes, state.segment);
    if (content.corruption !== undefined) {
        throw new StoreFailure({ kind: "corrupted", file, ...content.corruption });
    }
    if (content.tornOffset !== undefined) {
        await truncateDurably(files, file, content.tornOffset);
    }
    return { content, bytes: content.tornOffset ?? bytes.byteLength };
}

/** Truncates a file and syncs it. */
async function truncateDurably(files: FileSystem, path: string, bytes: number): Promise<void> {
    await wrapErrors("truncate", path, () => files.truncate(path, bytes));
    const file = await wrapErrors("open", path, () => files.append(path));
    try {
        await wrapErrors("sync", path, () => file.sync());
    }
    finally {
        await wrapErrors("close", path, () => file.close());
    }
}

/** Applies the batches of a segment in their order and returns the entries after the snapshot. */
function replay(file: string, snapshot: Snapshot | undefined, batches: readonly PersistBatch[]): readonly LogEntry[] {
    let entries: LogEntry[] = [];
    for (const batch of batches) {
        const next = extendLog(snapshot?.lastIndex ?? 0, entries, batch);
        if (next === undefined) {
            throw new StoreFailure({ kind: "corrupted", file, offset: 0, reason: "entries are not contiguous" });
        }
        entries = next;
    }
    return entries;
}

/** Applies a batch to the entries after `baseIndex`, in place. Returns undefined if its entries are not contiguous. */
export function extendLog(baseIndex: number, entries: LogEntry[], batch: PersistBatch): LogEntry[] | undefined {
    if (batch.truncateFrom !== undefined) {
        entries.length = Math.min(entries.length, Math.max(0, batch.truncateFrom - baseIndex - 1));
    }
    for (const entry of batch.entries) {
        if (entry.index !== baseIndex + entries.length + 1) {
            return undefined;
        }
        entries.push(entry);
    }
    return entries;
}

/** Removes files of the store that the state file does not name. */
async function removeLeftoverFiles(
    files: FileSystem,
    folder: string,
    names: readonly string[],
    state: StateFile,
): Promise<void> {
    const current = [STATE_FILE, segmentName(state.segment)];
    if (state.snapshot !== undefined) {
        current.push(snapshotName(state.snapshot));
    }
    for (const name of names.filter(name => isStoreFileName(name) && !current.includes(name))) {
        await wrapErrors("remove", `${folder}/${name}`, () => files.remove(`${folder}/${name}`));
    }
}

function isStoreFileName(name: string): boolean {
    return /^(state|segment-\d+|snapshot-\d+)(\.tmp)?$/.test(name);
}
