import type { Explanation } from "./explain.js";
import type { Subject } from "./subject.js";
import type { TimedLine } from "./timeline.js";

/** Longest text of one field; the whole line stands in its file. */
const MAX_FIELD_CHARACTERS = 60;

/** Fields that are told elsewhere or too long for one line. */
const LEFT_OUT: ReadonlySet<string> = new Set(["endpoints", "positions", "findings"]);

const SUBJECT_NAMES: Readonly<Record<Subject["kind"], string>> = {
    request: "Request",
    endpoint: "Endpoint",
    configuration: "Configuration",
};

/** Renders an explanation for a terminal. */
export function renderExplanation({ subject, outcome, cause, lines, dropped }: Explanation): string {
    const name = `${SUBJECT_NAMES[subject.kind]} ${subject.kind === "configuration" ? subject.number : subject.id}`;
    if (lines.length === 0) {
        const note = dropped === 0 ? "" : `; ${dropped} lines were left out under load`;
        return `${name}: no line of these files tells about it${note}`;
    }
    const head = outcome === undefined ? [name] : [`${name}: ${outcome}`, `Cause: ${cause ?? ""}`];
    const zero = anchorOf(subject, lines);
    return [...head, "", ...lines.map(line => renderLine(line, zero))].join("\n");
}

/** Times are told relative to the request's last line, or to the first line. */
function anchorOf(subject: Subject, lines: readonly TimedLine[]): number {
    const own = subject.kind === "request"
        ? lines.findLast(line => line.fields["requestId"] === subject.id)
        : undefined;
    return (own ?? lines[0])?.at ?? 0;
}

function renderLine(line: TimedLine, zero: number): string {
    const offset = `${Math.round(line.at - zero)} ms`.padStart(10);
    const fields = Object.entries(line.fields)
        .filter(([name, value]) => !LEFT_OUT.has(name) && value !== null)
        .map(([name, value]) => `${name}=${renderValue(value)}`);
    return `${offset}  ${line.host}  ${line.event}  ${fields.join(" ")}`;
}

function renderValue(value: unknown): string {
    const rounded = typeof value === "number" ? Math.round(value * 10) / 10 : value;
    const text = typeof rounded === "string" && !/[\s="]/.test(rounded) ? rounded : JSON.stringify(rounded);
    return text.length > MAX_FIELD_CHARACTERS ? `${text.slice(0, MAX_FIELD_CHARACTERS)}…` : text;
}
