import { formatFinding } from "@medlarledge/settings";
import type { Log } from "@medlarledge/telemetry";
import type { ConfigurationHolder } from "./configuration-holder.js";
import type { EntryTask } from "./entry-task.js";
import type { FolderEvent, FolderWatch } from "./folder-watch.js";

const APPLY_TIMEOUT_MS = 5_000;

/** Proposes each valid state of the watched folder that is not in force already. */
export class FolderProposals {
    readonly #watch: FolderWatch;
    readonly #entry: EntryTask;
    readonly #configuration: ConfigurationHolder;
    readonly #log: Log;

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
        return this.#watch.close();
    }

    async #propose(event: FolderEvent): Promise<void> {
        if (event.kind === "invalid") {
            this.#log.event("folderInvalid", { findings: event.findings.map(formatFinding) });
            return;
        }
        const { change } = event;
        if (change.digest === this.#configuration.inForce?.change.digest) {
            return;
        }
        const answer = await this.#entry.request("apply", change, APPLY_TIMEOUT_MS);
        const result = answer.kind === "answered" ? answer.body : answer.reason;
        this.#log.event("configurationAnswered", { number: change.number, answer: result });
    }
}
