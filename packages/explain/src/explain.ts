import { causeOfRequest, outcomeOf } from "./cause.js";
import { numberOf, textOf } from "./fields.js";
import { type LineFinding, readLog } from "./log-line.js";
import { linesAbout, type Subject } from "./subject.js";
import { orderLines, type TimedLine } from "./timeline.js";

export interface LogFile {
    readonly name: string;
    readonly text: string;
}

export interface Explanation {
    readonly subject: Subject;
    /** How it ended; undefined when no line tells. */
    readonly outcome: string | undefined;
    readonly cause: string | undefined;
    /** The lines that tell about it, in order. */
    readonly lines: readonly TimedLine[];
    /** Lines of the files that could not be used. */
    readonly findings: readonly LineFinding[];
    /** Lines that the processes left out under load; one of them may have told more. */
    readonly dropped: number;
}

/** Explains a request, an endpoint or a configuration from the logs of any number of hosts. */
export function explain(subject: Subject, files: readonly LogFile[]): Explanation {
    const reads = files.map(file => readLog(file.name, file.text));
    const all = orderLines(reads.flatMap(read => read.lines));
    const lines = linesAbout(subject, all);
    const outcome = subject.kind === "request" ? outcomeOf(subject.id, lines) : undefined;
    return {
        subject,
        outcome: outcome && describeOutcome(outcome),
        cause: outcome && causeOfRequest(outcome, lines),
        lines,
        findings: reads.flatMap(read => read.findings),
        dropped: all.reduce((sum, line) => sum + (line.event === "linesDropped" ? numberOf(line, "lines") ?? 0 : 0), 0),
    };
}

function describeOutcome(line: TimedLine): string {
    const code = textOf(line, "code");
    const latencyMs = numberOf(line, "latencyMs");
    const attempts = numberOf(line, "attempts");
    return [
        `${line.event}${code === undefined ? "" : ` (${code})`} at ${line.host}`,
        latencyMs === undefined ? undefined : `after ${Math.round(latencyMs)} ms`,
        attempts === undefined ? undefined : `attempts: ${attempts}`,
        textOf(line, "database") === undefined ? undefined : `database ${textOf(line, "database") ?? ""}`,
        textOf(line, "statement"),
    ].filter(part => part !== undefined).join(", ");
}
