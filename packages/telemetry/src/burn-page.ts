import { causes, percent } from "./burn-text.js";
import { type BurnReport, type DatabaseBurn, type ObjectiveBurn, replicaShare, worthShare } from "./burn.js";
import type { ServiceCount } from "./service-count.js";

const PLOT_WIDTH = 720;
const PLOT_HEIGHT = 150;
const PLOT_MARGIN = 56;

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; color: #1d2733; background: #f6f7f9; margin: 0; }
main { max-width: 800px; margin: 0 auto; padding: 24px 16px 64px; }
section { background: #fff; border: 1px solid #dfe3e8; border-radius: 8px; padding: 16px 20px; margin: 20px 0; }
h1 { font-size: 24px; margin-bottom: 0; } h2 { font-size: 19px; margin: 0 0 8px; } h3 { font-size: 15px; margin: 16px 0 4px; }
table { border-collapse: collapse; width: 100%; } th, td { text-align: right; padding: 4px 8px; border-bottom: 1px solid #edf0f3; }
th:first-child, td:first-child { text-align: left; } .note { color: #5a6672; }
.ok { color: #18794e; } .slow { color: #ad5700; font-weight: 600; } .fast { color: #c62a2f; font-weight: 600; }
svg { width: 100%; height: auto; } svg text { font-size: 11px; fill: #5a6672; }
`;

/** Renders the report as one self-contained HTML page with plots. */
export function renderBurnPage(report: BurnReport): string {
    const body = report.databases.length === 0
        ? "<section>No requests have been counted yet.</section>"
        : report.databases.map(renderDatabase).join("\n");
    return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width">
<title>Service-level burn</title><style>${STYLE}</style></head>
<body><main><h1>Service-level burn</h1>
<p class="note">Made at ${escapeHtml(report.madeAt)}. A burn of 1 spends exactly the error budget of 30 days.</p>
${body}
</main></body></html>
`;
}

function renderDatabase(burn: DatabaseBurn): string {
    const month = burn.totals["30 d"];
    return `<section><h2>${escapeHtml(burn.database)}</h2>
${renderObjectives(burn)}
<p>Failovers in 30 days: ${burn.failover.count}; slower than ${burn.failover.targetMs} ms: ${burn.failover.slow};
longest ${Math.round(burn.failover.longestMs)} ms.</p>
<p>Requests in 30 days: ${month.requests}. Reads by replicas: ${percent(replicaShare(month))}. Late: ${month.late}.
Not run: ${escapeHtml(causes(month.notRun))}. Unknown outcome: ${escapeHtml(causes(month.unknown))}.</p>
<h3>Worth carried within the deadline, last 6 hours</h3>${renderPlot(burn, worthShare, "#2f6feb")}
<h3>Reads served by replicas, last 6 hours</h3>${renderPlot(burn, replicaShare, "#18794e")}
</section>`;
}

function renderObjectives(burn: DatabaseBurn): string {
    const names = burn.objectives[0]?.windows.map(value => `<th>${value.window}</th>`).join("") ?? "";
    const rows = burn.objectives.map(renderObjective).join("\n");
    return `<table><thead><tr><th>objective</th><th>target</th>${names}<th>budget left</th><th>alert</th></tr></thead>
<tbody>${rows}</tbody></table>`;
}

function renderObjective(objective: ObjectiveBurn): string {
    const burns = objective.windows.map(value => `<td>${value.burn.toFixed(2)}</td>`).join("");
    const alert = objective.alert ?? "ok";
    return `<tr><td>${objective.name}</td><td>${percent(objective.target)}</td>${burns}`
        + `<td>${percent(objective.budgetLeft)}</td><td class="${alert}">${alert}</td></tr>`;
}

function renderPlot(burn: DatabaseBurn, share: (count: ServiceCount) => number | undefined, colour: string): string {
    const points = burn.series.flatMap(({ start, count }) => {
        const value = share(count);
        return value === undefined ? [] : [{ start, value }];
    });
    const first = points[0];
    const last = points.at(-1);
    if (first === undefined || last === undefined) {
        return `<p class="note">No data in this window.</p>`;
    }
    const span = Math.max(1, last.start - first.start);
    const lowest = Math.min(0.9, ...points.map(point => point.value));
    const x = (start: number): number => PLOT_MARGIN + ((start - first.start) / span) * (PLOT_WIDTH - 2 * PLOT_MARGIN);
    const y = (value: number): number => 10 + ((1 - value) / (1 - lowest)) * (PLOT_HEIGHT - 40);
    const line = points.map(point => `${x(point.start).toFixed(1)},${y(point.value).toFixed(1)}`).join(" ");
    const dots = points.map(point =>
        `<circle cx="${x(point.start).toFixed(1)}" cy="${y(point.value).toFixed(1)}" r="2" fill="${colour}"/>`
    ).join("");
    return `<svg viewBox="0 0 ${PLOT_WIDTH} ${PLOT_HEIGHT}" role="img">
${gridLine(y(1), "100 %")}${gridLine(y(lowest), percent(lowest))}
<polyline fill="none" stroke="${colour}" stroke-width="1.5" points="${line}"/>${dots}
<text x="${PLOT_MARGIN}" y="${PLOT_HEIGHT - 6}">${timeLabel(first.start)}</text>
<text x="${PLOT_WIDTH - PLOT_MARGIN}" y="${PLOT_HEIGHT - 6}" text-anchor="end">${timeLabel(last.start)}</text></svg>`;
}

function gridLine(y: number, label: string): string {
    const end = PLOT_WIDTH - PLOT_MARGIN;
    return `<line x1="${PLOT_MARGIN}" x2="${end}" y1="${y}" y2="${y}" stroke="#dfe3e8"/>`
        + `<text x="0" y="${y + 4}">${label}</text>`;
}

function timeLabel(wallClock: number): string {
    return `${new Date(wallClock).toISOString().slice(11, 16)} UTC`;
}

function escapeHtml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}
