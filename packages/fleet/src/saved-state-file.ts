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

/** State that a control host saves, so that it can send it to entry hosts right after a restart. */
export interface SavedState {
    /** The newest configuration that this host knows to be committed. */
    readonly configuration: ConfigurationChange | undefined;
    readonly records: readonly EndpointRecord[];
    readonly orders: readonly PromotionOrder[];
}

const EMPTY_STATE: SavedState = { configuration: undefined, records: [], orders: [] };

/**
 * File with the saved state of a control host. If the file is lost or damaged, the state is missing only until the
 * endpoints announce themselves again and the control group has a leader. The consensus group does not rely on it.
 */
export class SavedStateFile {
    readonly #folder: string;
    readonly #onFailure: (reason: string) => void;
    #pending: (() => SavedState) | undefined;
    #isScheduled = false;

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
     * delays nothing else.
     */
    save(state: () => SavedState): void {
        this.#pending = state;
        if (!this.#isScheduled) {
            this.#isScheduled = true;
            setTimeout(() => void this.#writePending(), WRITE_DELAY_MS);
        }
    }

    async #writePending(): Promise<void> {
        const pending = this.#pending;
        this.#pending = undefined;
        if (pending === undefined) {
            this.#isScheduled = false;
            return;
        }
        const isWritten = await this.#write(pending());
        if (!isWritten) {
            this.#pending ??= pending;
        }
        setTimeout(() => void this.#writePending(), isWritten ? WRITE_DELAY_MS : RETRY_DELAY_MS);
    }

    async #write(state: SavedState): Promise<boolean> {
        const path = join(this.#folder, FILE_NAME);
        try {
            await mkdir(this.#folder, { recursive: true });
            await writeSynced(`${path}.tmp`, JSON.stringify(state));
            await rename(`${path}.tmp`, path);
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
        && (!("configuration" in value) || isConfigurationChange(value.configuration));
}

function isMissing(error: unknown): boolean {
    return error instanceof Error && "code" in error && error.code === "ENOENT";
}

function reasonOf(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}
