import { type BurnReport, type DatabaseBurn, type ObjectiveBurn, replicaShare } from "./burn.js";

/** Renders the report for a terminal. */
export function renderBurnText(report: BurnReport): string {
    if (report.databases.length === 0) {
        return `Service-level burn at ${report.madeAt}\n\nNo requests have been counted yet.\n`;
    }
    const parts = report.databases.map(renderDatabase);
    return `Service-level burn at ${report.madeAt}\n\n${parts.join("\n")}`;
}

function renderDatabase(burn: DatabaseBurn): string {
    const month = burn.totals["30 d"];
    const lines = [
        `Database ${burn.database}`,
        ...burn.objectives.map(renderObjective),
        `  failovers: ${burn.failover.count}, slower than ${burn.failover.targetMs} ms: ${burn.failover.slow}, `
        + `longest ${Math.round(burn.failover.longestMs)} ms`,
        `  30 d: ${month.requests} requests, reads by replicas ${percent(replicaShare(month))}, late ${month.late}, `
        + `not run ${causes(month.notRun)}, unknown ${causes(month.unknown)}`,
    ];
    return `${lines.join("\n")}\n`;
}

function renderObjective(objective: ObjectiveBurn): string {
    const windows = objective.windows.map(value => `${value.window} ${value.burn.toFixed(2)}`).join("  ");
    const alert = objective.alert === undefined ? "" : `  ALERT: ${objective.alert} burn`;
    const left = percent(objective.budgetLeft);
    return `  ${objective.name} (target ${percent(objective.target)}): burn ${windows}; budget left ${left}${alert}`;
}

/** Formats counts by cause, largest first. */
export function causes(counts: Readonly<Record<string, number>>): string {
    const entries = Object.entries(counts).sort(([, left], [, right]) => right - left);
    return entries.length === 0 ? "0" : entries.map(([cause, count]) => `${cause} ${count}`).join(", ");
}

/** Formats a share as a percentage; "–" when there is none. */
export function percent(share: number | undefined): string {
    return share === undefined ? "–" : `${(share * 100).toFixed(2)} %`;
}
