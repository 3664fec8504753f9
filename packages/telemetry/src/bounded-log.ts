import { LineBudget } from "./line-budget.js";
import type { LogEvent } from "./log-event.js";
import type { Log, LogFields } from "./log.js";

/** Kinds whose left-out lines are told in one report; the rest is summed up. */
const MAX_REPORTED_KINDS = 20;

/**
 * Bounds the lines per second of each kind, that is, of each event, cause and group. The first line of a kind in a second
 * is always written, and what was left out is counted and told.
 */
export class BoundedLog implements Log {
    readonly #log: Log;
    readonly #budget: LineBudget;
    readonly #now: () => number;
    #dropped = 0;

    constructor(log: Log, now: () => number, budget = new LineBudget()) {
        this.#log = log;
        this.#now = now;
        this.#budget = budget;
    }

    /** Lines that were left out since the start. */
    get dropped(): number {
        return this.#dropped;
    }

    event(name: LogEvent, fields: LogFields = {}): void {
        if (this.#budget.take(kindOf(name, fields), this.#now())) {
            this.#log.event(name, fields);
        }
        else {
            this.#dropped += 1;
        }
    }

    /** Tells what was left out since the last report; to be called about once a second. */
    report(): void {
        const dropped = this.#budget.takeDropped();
        for (const { kind, lines } of dropped.slice(0, MAX_REPORTED_KINDS)) {
            this.#log.event("linesDropped", { kind, lines });
        }
        const further = dropped.slice(MAX_REPORTED_KINDS);
        if (further.length > 0) {
            const lines = further.reduce((sum, entry) => sum + entry.lines, 0);
            this.#log.event("linesDropped", { kind: "other", lines });
        }
    }
}

function kindOf(name: LogEvent, { cause, group }: LogFields): string {
    return [name, cause, group].filter(part => typeof part === "string").join("/");
}
