/** One line of a process's log. */
export interface LogLine {
    readonly file: string;
    /** Number of the line in its file, from 1. */
    readonly number: number;
    readonly host: string;
    /** Random name of the run of the process. */
    readonly run: string;
    readonly sequence: number;
    readonly uptimeMs: number;
    /** Wall-clock time in ms since 1970; it may have jumped. */
    readonly wallClock: number;
    readonly event: string;
    /** The event's own fields. */
    readonly fields: Readonly<Record<string, unknown>>;
}

/** A line that cannot be used. */
export interface LineFinding {
    readonly file: string;
    readonly number: number;
    readonly problem: string;
}

export interface LogRead {
    readonly lines: readonly LogLine[];
    readonly findings: readonly LineFinding[];
}

/**
 * Reads the lines of one file. Collectors put words such as a time and a host before each line; lines without an object
 * are none of the product's.
 */
export function readLog(file: string, text: string): LogRead {
    const lines: LogLine[] = [];
    const findings: LineFinding[] = [];
    for (const [index, line] of text.split("\n").entries()) {
        const start = line.indexOf('{"');
        if (start < 0) {
            continue;
        }
        const read = readLine(line.slice(start));
        if (typeof read === "string") {
            findings.push({ file, number: index + 1, problem: read });
        }
        else {
            lines.push({ file, number: index + 1, ...read });
        }
    }
    return { lines, findings };
}

/** Returns what is wrong when the line cannot be used. */
function readLine(text: string): Omit<LogLine, "file" | "number"> | string {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch {
        return "the line is not complete JSON";
    }
    const { time, host, run, sequence, uptimeMs, event, ...rest } = value as Record<string, unknown>;
    const wallClock = typeof time === "string" ? Date.parse(time) : Number.NaN;
    if (typeof host !== "string" || typeof event !== "string" || Number.isNaN(wallClock)) {
        return "time, host or event is missing";
    }
    if (typeof run !== "string" || typeof sequence !== "number" || typeof uptimeMs !== "number") {
        return "run, sequence or uptimeMs is missing";
    }
    const fields = Object.fromEntries(Object.entries(rest).filter(([name]) => name !== "level"));
    return { host, run, sequence, uptimeMs, wallClock, event, fields };
}
