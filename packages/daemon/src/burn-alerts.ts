import type { BurnReport, Log } from "@medlarledge/telemetry";

/** How often budgets are checked. */
const CHECK_MS = 60_000;

/** Logs error budgets that burn too fast. Only the leader does so, since all control hosts have the same counts. */
export class BurnAlerts {
    readonly #log: Log;
    #checkedAt = Number.NEGATIVE_INFINITY;

    constructor(log: Log) {
        this.#log = log;
    }

    tick(now: number, report: () => BurnReport): void {
        if (now - this.#checkedAt < CHECK_MS) {
            return;
        }
        this.#checkedAt = now;
        for (const { database, objectives } of report().databases) {
            for (const { name, alert, budgetLeft } of objectives) {
                if (alert !== undefined) {
                    this.#log.event("burnAlert", { database, objective: name, alert, budgetLeft });
                }
            }
        }
    }
}
