import type { Host, ServiceCounts } from "@medlarledge/protocol";
import { type SavedHistory, ServiceHistory } from "@medlarledge/telemetry";
import { readFile } from "node:fs/promises";
import { join } from "node:path";
import { z } from "zod";
import { replaceFile } from "./configuration-holder.js";

const FILE_NAME = "service-counts.json";

/** How often the counts are written to the data folder. */
const SAVE_MS = 10_000;

const byCause = z.record(z.string(), z.number().nonnegative());
const countSchema = z.object({
    requests: z.number(),
    worth: z.number(),
    worthInTime: z.number(),
    reads: z.number(),
    replicaReads: z.number(),
    freshReads: z.number(),
    late: z.number(),
    retries: z.number(),
    notRun: byCause,
    unknown: byCause,
    failovers: z.number(),
    slowFailovers: z.number(),
    longestFailoverMs: z.number(),
});
const countsSchema = z.record(z.string(), countSchema);

interface SavedCounts {
    readonly history: SavedHistory;
    /** Last sequence counted, by `HOST INCARNATION`. */
    readonly sequences: Readonly<Record<string, number>>;
}

/** A control host's copy of all service counts; it survives a restart. */
export class ServiceStore {
    readonly #folder: string;
    #history = new ServiceHistory();
    #sequences = new Map<string, number>();
    #savedAt = 0;
    #dirty = false;

    constructor(folder: string) {
        this.#folder = folder;
    }

    get history(): ServiceHistory {
        return this.#history;
    }

    /** Loads the counts from before a restart. Returns a reason when the file is damaged; the counts start anew then. */
    async restore(): Promise<string | undefined> {
        const text = await readFile(join(this.#folder, FILE_NAME), "utf8").catch(() => undefined);
        if (text === undefined) {
            return undefined;
        }
        try {
            const saved = JSON.parse(text) as SavedCounts;
            this.#sequences = new Map(Object.entries(saved.sequences));
            this.#history = ServiceHistory.restore(saved.history);
            return undefined;
        }
        catch (error) {
            this.#sequences = new Map();
            return `${FILE_NAME}: ${error instanceof Error ? error.message : String(error)}`;
        }
    }

    /** Counts a batch once. Returns false for a batch of a wrong form, which is not acknowledged. */
    receive(from: Host, batch: ServiceCounts): boolean {
        const key = `${from.id} ${from.incarnation}`;
        if (batch.sequence <= (this.#sequences.get(key) ?? 0)) {
            return true;
        }
        const parsed = countsSchema.safeParse(batch.counts);
        if (!parsed.success) {
            return false;
        }
        this.#sequences.set(key, batch.sequence);
        for (const [database, count] of Object.entries(parsed.data)) {
            this.#history.add(database, batch.at, count);
        }
        this.#dirty = true;
        return true;
    }

    async tick(now: number, wallClock: number): Promise<void> {
        if (this.#dirty && now - this.#savedAt >= SAVE_MS) {
            this.#savedAt = now;
            await this.save(wallClock);
        }
    }

    async save(wallClock: number): Promise<void> {
        this.#dirty = false;
        this.#history.prune(wallClock);
        const saved: SavedCounts = { history: this.#history.save(), sequences: Object.fromEntries(this.#sequences) };
        await replaceFile(this.#folder, FILE_NAME, JSON.stringify(saved)).catch(() => (this.#dirty = true));
    }
}
