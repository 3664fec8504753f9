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
import { attempt, StoreFailure } from "./store-error.js";
import type { PersistBatch, Snapshot } from "./types.js";

/** What the files of a folder hold. */
export interface OpenedFiles {
    readonly state: StateFile | undefined;
    readonly snapshot: Snapshot | undefined;
    readonly entries: readonly LogEntry[];
    /** Length of the segment in force, and the number of its batches. */
    readonly segmentBytes: number;
    readonly batches: number;
}

const NOTHING: OpenedFiles = { state: undefined, snapshot: undefined, entries: [], segmentBytes: 0, batches: 0 };

/** Reads and checks the files of a folder, cuts a torn last write off, and removes what a crash left over. */
export async function openFiles(files: FileSystem, folder: string): Promise<OpenedFiles> {
    await attempt("makeFolder", folder, () => files.makeFolder(folder));
    const names = await attempt("list", folder, () => files.list(folder));
    if (!names.includes(STATE_FILE)) {
        refuseRemains(folder, names);
        return NOTHING;
    }
    const state = await readState(files, folder);
    const [snapshot, segment] = await Promise.all([
        readSnapshot(files, folder, state),
        readSegment(files, folder, state),
    ]);
    const entries = replay(`${folder}/${segmentName(state.segment)}`, snapshot, segment.content.batches);
    await removeOthers(files, folder, names, state);
    return { state, snapshot, entries, segmentBytes: segment.bytes, batches: segment.content.batches.length };
}

/** The state file is the first one to be written: without it, others mean that what the member voted for is lost. */
function refuseRemains(folder: string, names: readonly string[]): void {
    if (names.some(name => isOwnName(name) && !name.endsWith(".tmp"))) {
        throw new StoreFailure({ kind: "missingFile", file: `${folder}/${STATE_FILE}` });
    }
}

async function readState(files: FileSystem, folder: string): Promise<StateFile> {
    const file = `${folder}/${STATE_FILE}`;
    const decoded = decodeStateFile(await attempt("read", file, () => files.read(file)));
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
    const decoded = decodeSnapshot(await attempt("read", file, () => files.read(file)));
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
        return { content: { batches: [], tornAt: undefined, damage: undefined }, bytes: 0 };
    }
    const file = `${folder}/${segmentName(state.segment)}`;
    const bytes = await attempt("read", file, () => files.read(file));
    const content = decodeSegment(bytes, state.segment);
    if (content.damage !== undefined) {
        throw new StoreFailure({ kind: "corrupted", file, ...content.damage });
    }
    if (content.tornAt !== undefined) {
        await cut(files, file, content.tornAt);
    }
    return { content, bytes: content.tornAt ?? bytes.byteLength };
}

async function cut(files: FileSystem, path: string, bytes: number): Promise<void> {
    await attempt("truncate", path, () => files.truncate(path, bytes));
    const file = await attempt("open", path, () => files.append(path));
    try {
        await attempt("sync", path, () => file.sync());
    }
    finally {
        await file.close();
    }
}

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

/** Adds a batch to the entries after `baseIndex`; undefined if it does not continue them. */
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

async function removeOthers(
    files: FileSystem,
    folder: string,
    names: readonly string[],
    state: StateFile,
): Promise<void> {
    const inForce = [STATE_FILE, segmentName(state.segment)];
    if (state.snapshot !== undefined) {
        inForce.push(snapshotName(state.snapshot));
    }
    for (const name of names.filter(name => isOwnName(name) && !inForce.includes(name))) {
        await attempt("remove", `${folder}/${name}`, () => files.remove(`${folder}/${name}`));
    }
}

function isOwnName(name: string): boolean {
    return /^(state|segment-\d+|snapshot-\d+)(\.tmp)?$/.test(name);
}
