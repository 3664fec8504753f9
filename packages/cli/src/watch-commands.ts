import type { HistoryEntry, Status } from "@medlarledge/control";
import { ExitCode } from "./exit-code.js";
import { callHost, type HostAccess, reportFailure } from "./host-client.js";
import { type Output, table } from "./output.js";
import { renderStatus } from "./status-text.js";

const WATCH_MS = 1_000;
const CLEAR_SCREEN = "\u001B[2J\u001B[H";

/** Prints the status once, or again every second until interrupted. */
export async function showStatus(
    access: HostAccess,
    options: { readonly json: boolean; readonly watch: boolean; },
    output: Output,
): Promise<ExitCode> {
    for (;;) {
        const answer = await callHost(access, "GET", "/v1/status");
        const usable = answer.kind === "answered" && answer.status === 200;
        if (!usable) {
            reportFailure(access, answer, output);
            if (!options.watch) {
                return ExitCode.Failed;
            }
        }
        else {
            const { cluster } = answer.body as { cluster: Status; };
            const text = options.json ? JSON.stringify(answer.body, undefined, 2) : renderStatus(cluster);
            output.out(options.watch ? `${CLEAR_SCREEN}${text}` : text);
        }
        if (!options.watch) {
            return ExitCode.Done;
        }
        await new Promise(resolve => setTimeout(resolve, WATCH_MS));
    }
}

/** Prints who changed what and when, and why primaries changed. */
export async function showHistory(access: HostAccess, json: boolean, output: Output): Promise<ExitCode> {
    const answer = await callHost(access, "GET", "/v1/history");
    if (answer.kind !== "answered" || answer.status !== 200) {
        reportFailure(access, answer, output);
        return ExitCode.Failed;
    }
    const { entries } = answer.body as { entries: readonly HistoryEntry[]; };
    const rows = entries.map(entry => [new Date(entry.at).toISOString(), entry.kind, entry.who, entry.what, entry.why]);
    output.out(json ? JSON.stringify(entries, undefined, 2) : table([["time", "kind", "who", "what", "why"], ...rows]));
    return ExitCode.Done;
}

/** Prints the service-level burn report as text, JSON or a page. */
export async function showBurn(access: HostAccess, format: string, output: Output): Promise<ExitCode> {
    const answer = await callHost(access, "GET", `/v1/burn?format=${encodeURIComponent(format)}`);
    if (answer.kind !== "answered" || answer.status !== 200) {
        reportFailure(access, answer, output);
        return ExitCode.Failed;
    }
    output.out(answer.text);
    return ExitCode.Done;
}
