import { ChangeOutcome, type ChangeResult, type ConfigurationChange } from "@medlarledge/protocol";
import { formatFinding } from "@medlarledge/settings";
import type { Log } from "@medlarledge/telemetry";
import type { ConfigurationHolder } from "./configuration-holder.js";
import type { EntryTask } from "./entry-task.js";
import type { FolderEvent, FolderWatch } from "./folder-watch.js";

const APPLY_TIMEOUT_MS = 5_000;

/** Pause before a change that no leader answered is proposed again. */
const RETRY_MS = 1_000;

/** Proposes each valid state of the watched folder that is not in force already. */
export class FolderProposals {
    readonly #watch: FolderWatch;
    readonly #entry: EntryTask;
    readonly #configuration: ConfigurationHolder;
    readonly #log: Log;
    /** Digest of the last valid state; an older one is not proposed again. */
    #latest = "";
    #closed = false;

    constructor(watch: FolderWatch, entry: EntryTask, configuration: ConfigurationHolder, log: Log) {
        this.#watch = watch;
        this.#entry = entry;
        this.#configuration = configuration;
        this.#log = log;
    }

    start(): void {
        void this.#watch.events.observe(event => void this.#propose(event));
        this.#watch.start();
    }

    close(): Promise<void> {
        this.#closed = true;
        return this.#watch.close();
    }

    async #propose(event: FolderEvent): Promise<void> {
        if (event.kind === "invalid") {
            this.#log.event("folderInvalid", { findings: event.findings.map(formatFinding) });
            return;
        }
        this.#latest = event.change.digest;
        await this.#apply(event.change);
    }

    async #apply(change: ConfigurationChange): Promise<void> {
        while (!this.#closed && change.digest === this.#latest) {
            if (change.digest === this.#configuration.inForce?.change.digest) {
                return;
            }
            const answer = await this.#entry.request("apply", change, APPLY_TIMEOUT_MS);
            const result = answer.kind === "answered" ? answer.body as Partial<ChangeResult> : undefined;
            this.#log.event("configurationAnswered", { number: change.number, answer: result ?? answer });
            if (result?.outcome !== undefined && result.outcome !== ChangeOutcome.Unavailable) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, RETRY_MS));
        }
    }
}
