import { LOG_EVENTS, METRICS } from "@medlarledge/telemetry";
import { callsPage } from "./calls-page.js";
import { code, markdownTable } from "./markdown.js";
import { messagePage } from "./messages-page.js";
import { folderSettings, hostSettings } from "./settings-page.js";
import { isUsed, ofPackage, readSources, type SourceFile } from "./source-files.js";
import { sqlstatePage } from "./sqlstate-page.js";

/** Folder of the pages, from the root of the repository. */
export const REFERENCE_FOLDER = "docs/reference";

const NOTICE = "<!-- Written by `npm run reference`; do not edit. -->";

/** Marks what stands in a table although no code uses it. */
const UNUSED = "Not sent yet. ";

interface Page {
    readonly file: string;
    readonly title: string;
    readonly body: string;
}

/** The text of every reference page, by its file name. */
export function referencePages(root: string): ReadonlyMap<string, string> {
    const sources = readSources(root);
    const pages = buildPages(sources);
    const index = pages.map(({ file, title }) => `- [${title}](${file})`).join("\n");
    const all = [{ file: "README.md", title: "Reference", body: index }, ...pages];
    return new Map(all.map(({ file, title, body }) => [file, `# ${title}\n\n${NOTICE}\n\n${body}\n`]));
}

function buildPages(sources: readonly SourceFile[]): readonly Page[] {
    const callers = [...ofPackage(sources, "postgres"), ...ofPackage(sources, "proxy")];
    return [
        { file: "folder-settings.md", title: "Settings of the folder", body: folderSettings() },
        { file: "host-settings.md", title: "Settings of a host", body: hostSettings() },
        { file: "sqlstates.md", title: "SQLSTATEs", body: sqlstatePage(callers) },
        { file: "metrics.md", title: "Metrics", body: metricsTable(sources) },
        { file: "log-events.md", title: "Log events", body: eventsTable(sources) },
        { file: "http-calls.md", title: "Calls over HTTP", body: callsPage() },
        { file: "messages.md", title: "Messages between processes", body: messagePage(ofPackage(sources, "protocol")) },
    ];
}

function metricsTable(sources: readonly SourceFile[]): string {
    const rows = Object.entries(METRICS).map(([name, { type, unit, tags, meaning }]) => [
        code(`medlarledge.${name}`),
        type,
        unit,
        tags.map(code).join(", "),
        `${isUsed(name, sources, "metric.ts") ? "" : UNUSED}${meaning}`,
    ]);
    const text = "Sent over StatsD when a host has `statsdAddress`. Every metric also has the tags `host` and "
        + "`data_centre`.";
    return `${text}\n\n${markdownTable(["name", "type", "unit", "tags", "meaning"], rows)}`;
}

function eventsTable(sources: readonly SourceFile[]): string {
    const rows = Object.entries(LOG_EVENTS).map(([name, { level, meaning }]) => [
        code(name),
        level,
        `${isUsed(name, sources, "log-event.ts") ? "" : UNUSED}${meaning}`,
    ]);
    const text = "One JSON line each on standard error, with `time`, `level`, `host`, `event` and the event's fields.";
    return `${text}\n\n${markdownTable(["event", "level", "meaning"], rows)}`;
}
