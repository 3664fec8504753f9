import type { LogLine } from "./log-line.js";

/** A text field of a line; undefined when there is none. */
export function textOf(line: Pick<LogLine, "fields">, name: string): string | undefined {
    const value = line.fields[name];
    return typeof value === "string" ? value : undefined;
}

/** A number field of a line; undefined when there is none. */
export function numberOf(line: Pick<LogLine, "fields">, name: string): number | undefined {
    const value = line.fields[name];
    return typeof value === "number" ? value : undefined;
}

/** The entry of a list field whose `endpoint` has a value. */
export function endpointEntry(
    line: Pick<LogLine, "fields">,
    endpoint: string | undefined,
): Readonly<Record<string, unknown>> | undefined {
    const list = line.fields["endpoints"];
    const entries = Array.isArray(list) ? list as readonly Readonly<Record<string, unknown>>[] : [];
    return entries.find(entry => entry["endpoint"] === endpoint);
}
