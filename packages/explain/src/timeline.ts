import type { LogLine } from "./log-line.js";

/** A line with its place in time. */
export interface TimedLine extends LogLine {
    /** Wall-clock time in ms, freed of jumps within a run. */
    readonly at: number;
}

/** Passes over the references between runs; each can shift the runs that depend on one that was shifted. */
const REFERENCE_PASSES = 4;

/** Events that can only follow the event on the right which has the same value in the named field. */
const FOLLOWS: Readonly<Record<string, { readonly event: string; readonly field: string; }>> = {
    primaryOrdered: { event: "promotionOrdered", field: "fence" },
    promotionAnswered: { event: "promotionOrdered", field: "fence" },
};

/**
 * Orders the lines of many processes. Within a run the sequence and the steady clock decide. The wall clock only places
 * the run as a whole, by the median of what its lines tell, so that a jump for a while moves nothing; a run whose lines
 * would stand before what caused them is shifted behind it.
 */
export function orderLines(lines: readonly LogLine[]): readonly TimedLine[] {
    const runs = new Map<string, LogLine[]>();
    for (const line of lines) {
        const key = runOf(line);
        runs.set(key, [...runs.get(key) ?? [], line]);
    }
    const startedAt = new Map([...runs].map(([key, members]) => [key, medianStart(members)]));
    shiftByReferences(lines, startedAt);
    const timed = lines.map(line => ({ ...line, at: (startedAt.get(runOf(line)) ?? 0) + line.uptimeMs }));
    return timed.sort((left, right) => left.at - right.at || compareWithinRun(left, right));
}

function runOf({ host, run }: LogLine): string {
    return `${host}/${run}`;
}

function medianStart(lines: readonly LogLine[]): number {
    const starts = lines.map(line => line.wallClock - line.uptimeMs).sort((left, right) => left - right);
    return starts[Math.floor(starts.length / 2)] ?? 0;
}

function shiftByReferences(lines: readonly LogLine[], startedAt: Map<string, number>): void {
    const referring = lines.filter(line => line.event in FOLLOWS);
    const at = (line: LogLine): number => (startedAt.get(runOf(line)) ?? 0) + line.uptimeMs;
    for (let pass = 0; pass < REFERENCE_PASSES; pass++) {
        for (const line of referring) {
            const cause = causeOf(line, lines);
            const late = cause === undefined ? 0 : at(cause) - at(line);
            if (late > 0) {
                startedAt.set(runOf(line), (startedAt.get(runOf(line)) ?? 0) + late);
            }
        }
    }
}

function causeOf(line: LogLine, lines: readonly LogLine[]): LogLine | undefined {
    const follows = FOLLOWS[line.event];
    return follows === undefined
        ? undefined
        : lines.find(other =>
            other.event === follows.event && other.fields["group"] === line.fields["group"]
            && other.fields[follows.field] === line.fields[follows.field] && runOf(other) !== runOf(line)
        );
}

function compareWithinRun(left: LogLine, right: LogLine): number {
    return runOf(left) === runOf(right) ? left.sequence - right.sequence : 0;
}
