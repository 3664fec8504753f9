import { nodeFileSystem } from "@medlarledge/agreement";
import {
    type ConfigurationChange,
    type EndpointRecord,
    isConfigurationChange,
    type PromotionOrder,
} from "@medlarledge/protocol";
import { mkdir, open, readFile, rename } from "node:fs/promises";
import { join } from "node:path";

const FILE_NAME = "last-known.json";

/** Delay before a write, so that changes within this time are written together. */
const WRITE_DELAY_MS = 200;

/** Delay before a failed write is repeated. */
const RETRY_DELAY_MS = 1_000;

/** A state to write, and the callers that wait until it is written. */
interface PendingWrite {
    readonly state: () => SavedState;
    readonly waiters: readonly ((isWritten: boolean) => void)[];
    readonly isUrgent: boolean;
}

/** State that a control host saves, so that it can send it to entry hosts right after a restart. */
export interface SavedState {
    /** The newest configuration that this host knows to be committed. */
    readonly configuration: ConfigurationChange | undefined;
    readonly records: readonly EndpointRecord[];
    readonly orders: readonly PromotionOrder[];
    /** Time of the write in ms since 1970, by the clock of this host; undefined in a file of an earlier version. */
    readonly savedAt?: number | undefined;
}

const EMPTY_STATE: SavedState = { configuration: undefined, records: [], orders: [] };

/**
 * File with the saved state of a control host. If the file is lost or damaged, the state is missing only until the
 * endpoints announce themselves again and the control group has a leader. The consensus group does not rely on it.
 */
export class SavedStateFile {
    readonly #folder: string;
    readonly #onFailure: (reason: string) => void;
    #pending: PendingWrite | undefined;
    #timer: NodeJS.Timeout | undefined;
    #isWriting = false;

    constructor(folder: string, failed: (reason: string) => void) {
        this.#folder = folder;
        this.#onFailure = failed;
    }

    /**
     * Reads the file. Returns an empty state when it is missing or damaged; a damaged file is reported. The records may
     * be those of an earlier version, which checked less.
     */
    async load(): Promise<SavedState> {
        try {
            const value: unknown = JSON.parse(await readFile(join(this.#folder, FILE_NAME), "utf8"));
            if (isSavedState(value)) {
                return value;
            }
            this.#onFailure("the file does not contain a saved state");
            return EMPTY_STATE;
        }
        catch (error) {
            if (!isMissing(error)) {
                this.#onFailure(reasonOf(error));
            }
            return EMPTY_STATE;
        }
    }

    /**
     * Schedules a write of the state that `state` then returns, and repeats it until it succeeds. A slow or full disk
     * delays nothing else. Resolves to false when the first such write fails.
     * @param isUrgent whether a caller waits, so that the write is not delayed
     */
    save(state: () => SavedState, isUrgent: boolean): Promise<boolean> {
        return new Promise(resolve => {
            const { waiters = [], isUrgent: wasUrgent = false } = this.#pending ?? {};
            this.#pending = { state, waiters: [...waiters, resolve], isUrgent: isUrgent || wasUrgent };
            this.#schedule(this.#pending.isUrgent ? 0 : WRITE_DELAY_MS);
        });
    }

    /** Starts a write after the delay, or earlier if one is scheduled earlier; none starts while another one runs. */
    #schedule(delayMs: number): void {
        if (this.#isWriting || (this.#timer !== undefined && delayMs > 0)) {
            return;
        }
        clearTimeout(this.#timer);
        this.#timer = setTimeout(() => void this.#writePending(), delayMs);
    }

    async #writePending(): Promise<void> {
        this.#timer = undefined;
        const pending = this.#pending;
        if (pending === undefined) {
            return;
        }
        this.#pending = undefined;
        this.#isWriting = true;
        const isWritten = await this.#write(pending.state());
        this.#isWriting = false;
        pending.waiters.forEach(done => done(isWritten));
        if (!isWritten) {
            this.#pending ??= { state: pending.state, waiters: [], isUrgent: false };
        }
        const { isUrgent } = this.#pending ?? {};
        if (isUrgent !== undefined) {
            this.#schedule(isUrgent ? 0 : isWritten ? WRITE_DELAY_MS : RETRY_DELAY_MS);
        }
    }

    async #write(state: SavedState): Promise<boolean> {
        const path = join(this.#folder, FILE_NAME);
        try {
            await mkdir(this.#folder, { recursive: true });
            await writeSynced(`${path}.tmp`, JSON.stringify(state));
            await rename(`${path}.tmp`, path);
            await nodeFileSystem.syncFolder(this.#folder);
            return true;
        }
        catch (error) {
            this.#onFailure(reasonOf(error));
            return false;
        }
    }
}

/** Writes and syncs a file. Without the sync, a power loss could leave an empty file under the final name. */
async function writeSynced(path: string, text: string): Promise<void> {
    const file = await open(path, "w");
    try {
        await file.writeFile(text);
        await file.sync();
    }
    finally {
        await file.close();
    }
}

function isSavedState(value: unknown): value is SavedState {
    return typeof value === "object" && value !== null && "records" in value && Array.isArray(value.records)
        && "orders" in value && Array.isArray(value.orders)
        && (!("savedAt" in value) || Number.isFinite(value.savedAt))
        && (!("configuration" in value) || isConfigurationChange(value.configuration));
}

function isMissing(error: unknown): boolean {
    return error instanceof Error && "code" in error && error.code === "ENOENT";
}

function reasonOf(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}
