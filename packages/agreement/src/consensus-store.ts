import type { LogEntry, Members } from "@medlarledge/protocol";
import { replaceFile } from "./checked-file.js";
import { type AppendFile, type FileSystem, nodeFileSystem } from "./file-system.js";
import { encodeBatch } from "./segment.js";
import {
    encodeSnapshot,
    encodeStateFile,
    hardStateOf,
    NO_SEGMENT,
    segmentName,
    snapshotName,
    STATE_FILE,
} from "./state-file.js";
import type { StateFile } from "./state-file.js";
import { catchStoreFailure, type StoreError, StoreFailure, wrapErrors } from "./store-error.js";
import { extendLog, type OpenedFiles, openFiles } from "./store-opening.js";
import type { PersistBatch, RecoveredState, Snapshot } from "./types.js";

export type OpenedStore =
    | { readonly ok: true; readonly store: ConsensusStore; readonly recovered: RecoveredState; }
    | { readonly ok: false; readonly error: StoreError; };

interface Segment {
    readonly file: AppendFile;
    readonly path: string;
    bytes: number;
    batches: number;
}

/**
 * Durable state of one member in one folder: a state file, a snapshot and a segment of the log. The promise of a call
 * resolves when its changes are durable, to `undefined` or to an error. Calls run one after another. After the first
 * error every further call fails.
 */
export class ConsensusStore {
    readonly #files: FileSystem;
    readonly #folder: string;
    #state: StateFile | undefined;
    #baseIndex: number;
    #entries: LogEntry[];
    #segment: Segment | undefined;
    #error: StoreError | undefined;
    /** The last call; the next one starts when it has ended. */
    #last: Promise<unknown> = Promise.resolve();

    private constructor(files: FileSystem, folder: string, opened: OpenedFiles) {
        this.#files = files;
        this.#folder = folder;
        this.#state = opened.state;
        this.#baseIndex = opened.snapshot?.lastIndex ?? 0;
        this.#entries = [...opened.entries];
    }

    /** Opens a folder and creates it if needed. An empty folder gives a fresh state and must be initialized. */
    static async open(folder: string, files: FileSystem = nodeFileSystem): Promise<OpenedStore> {
        let opened: OpenedFiles | undefined;
        let store: ConsensusStore | undefined;
        const error = await catchStoreFailure(async () => {
            opened = await openFiles(files, folder);
            store = new ConsensusStore(files, folder, opened);
            await store.#openSegment(opened);
        });
        if (error !== undefined) {
            await store?.close();
        }
        if (error !== undefined || opened === undefined || store === undefined) {
            return { ok: false, error: error ?? { kind: "stopped", cause: undefined } };
        }
        return { ok: true, store, recovered: toRecovered(opened) };
    }

    /**
     * Initializes an empty folder for a member. The founding members of a group pass the same initial members; a host
     * that joins later passes none and waits until it is added to the group.
     */
    initialize(memberId: string, members?: Members): Promise<StoreError | undefined> {
        return this.#run(async () => {
            if (this.#state !== undefined) {
                throw new StoreFailure({ kind: "alreadyInitialized", memberId: this.#state.memberId });
            }
            await this.#replaceState({ version: 1, memberId, term: 0, initialMembers: members, segment: NO_SEGMENT });
        });
    }

    /** Makes a batch durable by one write and one sync. Replaces the state file first if term or vote changed. */
    persist(batch: PersistBatch): Promise<StoreError | undefined> {
        return this.#run(async () => {
            const { hardState } = batch;
            if (hardState !== undefined) {
                await this.#replaceState({ ...this.#initialized(), ...hardState });
            }
            if (batch.truncateFrom !== undefined || batch.entries.length > 0) {
                this.#initialized();
                await this.#append(batch);
            }
        });
    }

    /** Makes a snapshot durable, then removes the entries that it covers and the previous files. */
    saveSnapshot(snapshot: Snapshot): Promise<StoreError | undefined> {
        return this.#run(async () => {
            const state = this.#initialized();
            await replaceFile(this.#files, this.#folder, snapshotName(snapshot.lastIndex), encodeSnapshot(snapshot));
            const remaining = this.#entriesAfter(snapshot);
            const previous = this.#segment;
            const next = await this.#createSegment(state.segment + 1, remaining);
            // From here on `close` closes the new segment, also if naming it in the state file fails.
            this.#segment = next;
            if (previous !== undefined) {
                await wrapErrors("close", previous.path, () => previous.file.close());
            }
            const inForce = { segment: state.segment + 1, snapshot: snapshot.lastIndex };
            await this.#replaceState({ ...state, ...inForce, initialMembers: undefined });
            this.#baseIndex = snapshot.lastIndex;
            this.#entries = remaining;
            await this.#removePrevious(state, snapshot.lastIndex);
        });
    }

    /** Waits for the pending calls and closes the files, also after an error. Returns the error of closing them. */
    async close(): Promise<StoreError | undefined> {
        const closed = this.#last.then(() => catchStoreFailure(() => this.#closeSegment()));
        this.#last = closed;
        const error = await closed;
        this.#error ??= { kind: "stopped", cause: error };
        return error;
    }

    async #closeSegment(): Promise<void> {
        const segment = this.#segment;
        this.#segment = undefined;
        if (segment !== undefined) {
            await wrapErrors("close", segment.path, () => segment.file.close());
        }
    }

    /** Runs a change after the previous ones. */
    #run(change: () => Promise<void>): Promise<StoreError | undefined> {
        const result = this.#last.then(() => this.#attempt(change));
        this.#last = result;
        return result;
    }

    async #attempt(change: () => Promise<void>): Promise<StoreError | undefined> {
        if (this.#error !== undefined) {
            return this.#error.kind === "stopped" ? this.#error : { kind: "stopped", cause: this.#error };
        }
        const error = await catchStoreFailure(change);
        this.#error = error;
        return error;
    }

    /** Returns the state file, or throws if the folder was not initialized. */
    #initialized(): StateFile {
        if (this.#state === undefined) {
            throw new StoreFailure({ kind: "notInitialized" });
        }
        return this.#state;
    }

    /**
     * Opens the current segment and makes what was found in the folder durable. A process that ended between a write and
     * its sync left entries and file names that a power loss would still take, although they count as durable from now on.
     */
    async #openSegment(opened: OpenedFiles): Promise<void> {
        if (opened.state === undefined) {
            return;
        }
        if (opened.state.segment !== NO_SEGMENT) {
            const path = `${this.#folder}/${segmentName(opened.state.segment)}`;
            const file = await wrapErrors("open", path, () => this.#files.append(path));
            this.#segment = { file, path, bytes: opened.segmentBytes, batches: opened.batches };
            await wrapErrors("sync", path, () => file.sync());
        }
        await wrapErrors("sync", this.#folder, () => this.#files.syncFolder(this.#folder));
    }

    /** Creates a segment, which takes effect once the state file names it. */
    async #createSegment(number: number, entries: readonly LogEntry[] = []): Promise<Segment> {
        const path = `${this.#folder}/${segmentName(number)}`;
        await wrapErrors("remove", path, () => this.#files.remove(path));
        const file = await wrapErrors("create", path, () => this.#files.append(path));
        const segment = { file, path, bytes: 0, batches: 0 };
        try {
            if (entries.length > 0) {
                await writeBatch(segment, number, { entries });
            }
            await wrapErrors("sync", this.#folder, () => this.#files.syncFolder(this.#folder));
        }
        catch (error) {
            await wrapErrors("close", path, () => file.close());
            throw error;
        }
        return segment;
    }

    async #append(batch: PersistBatch): Promise<void> {
        const lastIndex = this.#baseIndex + this.#entries.length;
        const entries = extendLog(this.#baseIndex, [...this.#entries], batch);
        if (entries === undefined) {
            throw new StoreFailure({ kind: "notContiguous", index: batch.entries[0]?.index ?? 0, lastIndex });
        }
        await writeBatch(this.#segment ?? await this.#firstSegment(), this.#initialized().segment, batch);
        this.#entries = entries;
    }

    async #firstSegment(): Promise<Segment> {
        this.#segment = await this.#createSegment(NO_SEGMENT + 1);
        await this.#replaceState({ ...this.#initialized(), segment: NO_SEGMENT + 1 });
        return this.#segment;
    }

    /** Entries that follow the snapshot; none if the log has an entry of another term at its last index. */
    #entriesAfter(snapshot: Snapshot): LogEntry[] {
        const position = snapshot.lastIndex - this.#baseIndex - 1;
        const last = this.#entries[position];
        return last?.term === snapshot.lastTerm ? this.#entries.slice(position + 1) : [];
    }

    async #replaceState(state: StateFile): Promise<void> {
        await replaceFile(this.#files, this.#folder, STATE_FILE, encodeStateFile(state));
        this.#state = state;
    }

    async #removePrevious(state: StateFile, lastIndex: number): Promise<void> {
        const names = state.segment === NO_SEGMENT ? [] : [segmentName(state.segment)];
        if (state.snapshot !== undefined && state.snapshot !== lastIndex) {
            names.push(snapshotName(state.snapshot));
        }
        for (const name of names) {
            await wrapErrors("remove", name, () => this.#files.remove(`${this.#folder}/${name}`));
        }
    }
}

async function writeBatch(segment: Segment, number: number, batch: PersistBatch): Promise<void> {
    const bytes = encodeBatch({ segment: number, offset: segment.bytes, sequence: segment.batches }, batch);
    await wrapErrors("write", segment.path, () => segment.file.write(bytes));
    await wrapErrors("sync", segment.path, () => segment.file.sync());
    segment.bytes += bytes.byteLength;
    segment.batches += 1;
}

function toRecovered(opened: OpenedFiles): RecoveredState {
    const { state, snapshot, entries } = opened;
    return {
        fresh: state === undefined,
        memberId: state?.memberId,
        hardState: state === undefined ? { term: 0, votedFor: undefined } : hardStateOf(state),
        snapshot,
        entries,
    };
}
