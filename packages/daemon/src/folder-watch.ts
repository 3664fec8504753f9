import type { ConfigurationChange, ConfigurationFile } from "@medlarledge/protocol";
import { Channel } from "@medlarledge/runtime";
import { digestOf, type Finding, mergeFolder, readFolder } from "@medlarledge/settings";
import { type FSWatcher, watch } from "chokidar";

/** A folder counts as saved when its digest has been the same for this long. */
const SETTLE_MS = 200;

/** The folder is also read at this interval, since a file system may lose notifications. */
const REREAD_MS = 2_000;

export type FolderEvent =
    | { readonly kind: "changed"; readonly change: ConfigurationChange; }
    | { readonly kind: "invalid"; readonly findings: readonly Finding[]; };

/** Watches a configuration folder and reports each complete, valid state of it once. */
export class FolderWatch {
    readonly #folder: string;
    readonly #operator: string;
    readonly #events = new Channel<FolderEvent>();
    #watcher: FSWatcher | undefined;
    #timer: NodeJS.Timeout | undefined;
    #interval: NodeJS.Timeout | undefined;
    #reportedDigest = "";
    #seenDigest = "";

    constructor(folder: string, operator: string) {
        this.#folder = folder;
        this.#operator = operator;
    }

    get events(): Channel<FolderEvent>["stream"] {
        return this.#events.stream;
    }

    start(): void {
        this.#watcher = watch(this.#folder, { ignoreInitial: true, depth: 0 });
        this.#watcher.on("all", () => this.#readLater());
        this.#watcher.on("error", () => this.#readLater());
        this.#interval = setInterval(() => void this.#read(), REREAD_MS);
        this.#readLater();
    }

    async close(): Promise<void> {
        clearTimeout(this.#timer);
        clearInterval(this.#interval);
        await this.#watcher?.close();
    }

    #readLater(): void {
        clearTimeout(this.#timer);
        this.#timer = setTimeout(() => void this.#read(), SETTLE_MS);
    }

    /** Reports the folder when two readings at least `SETTLE_MS` apart agree. */
    async #read(): Promise<void> {
        const read = await readFolder(this.#folder);
        const digest = read.ok ? digestOf(read.files) : JSON.stringify(read.findings);
        if (digest === this.#reportedDigest) {
            return;
        }
        if (digest !== this.#seenDigest) {
            this.#seenDigest = digest;
            this.#readLater();
            return;
        }
        this.#reportedDigest = digest;
        this.#events.push(
            read.ok ? folderEvent(read.files, this.#operator) : { kind: "invalid", findings: read.findings },
        );
    }
}

/** Turns the files of a folder into a change to propose, or into its findings. */
export function folderEvent(files: readonly ConfigurationFile[], operator: string): FolderEvent {
    const merged = mergeFolder(files);
    if (!merged.ok) {
        return { kind: "invalid", findings: merged.findings };
    }
    const change = { number: merged.configuration.number, digest: digestOf(files), operator, files };
    return { kind: "changed", change };
}
