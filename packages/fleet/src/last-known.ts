import type { ConfigurationChange, EndpointRecord, PromotionOrder } from "@medlarledge/protocol";
import { mkdir, open, readFile, rename } from "node:fs/promises";
import { join } from "node:path";

const FILE_NAME = "last-known.json";

/** Changes within this time are written together. */
const WRITE_DELAY_MS = 200;

/** What a control host knew, so that it can tell entry hosts at once after a restart. */
export interface Knowledge {
    /** The newest configuration that this host knew to be committed. */
    readonly configuration: ConfigurationChange | undefined;
    readonly records: readonly EndpointRecord[];
    readonly orders: readonly PromotionOrder[];
}

const NOTHING: Knowledge = { configuration: undefined, records: [], orders: [] };

/**
 * Keeps what a control host knows in a file. A file that is lost or damaged only costs the time until the
 * endpoints announce themselves again and the group has a leader. Decisions of the group never rest on it.
 */
export class LastKnown {
    readonly #folder: string;
    readonly #failed: (reason: string) => void;
    #pending: (() => Knowledge) | undefined;
    #isScheduled = false;

    constructor(folder: string, failed: (reason: string) => void) {
        this.#folder = folder;
        this.#failed = failed;
    }

    async load(): Promise<Knowledge> {
        try {
            const value: unknown = JSON.parse(await readFile(join(this.#folder, FILE_NAME), "utf8"));
            return isKnowledge(value) ? value : NOTHING;
        }
        catch (error) {
            if (!isMissing(error)) {
                this.#failed(reasonOf(error));
            }
            return NOTHING;
        }
    }

    /** Writes what `knowledge` returns a moment later; a disk that is slow or full delays nothing else. */
    save(knowledge: () => Knowledge): void {
        this.#pending = knowledge;
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
        await this.#write(pending());
        setTimeout(() => void this.#writePending(), WRITE_DELAY_MS);
    }

    async #write(knowledge: Knowledge): Promise<void> {
        const path = join(this.#folder, FILE_NAME);
        try {
            await mkdir(this.#folder, { recursive: true });
            await writeSynced(`${path}.tmp`, JSON.stringify(knowledge));
            await rename(`${path}.tmp`, path);
        }
        catch (error) {
            this.#failed(reasonOf(error));
        }
    }
}

/** Synced, since a power loss would otherwise leave an empty file under the final name. */
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

function isKnowledge(value: unknown): value is Knowledge {
    return typeof value === "object" && value !== null && "records" in value && Array.isArray(value.records)
        && "orders" in value && Array.isArray(value.orders);
}

function isMissing(error: unknown): boolean {
    return error instanceof Error && "code" in error && error.code === "ENOENT";
}

function reasonOf(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}
