import { randomBytes } from "node:crypto";
import { Logger } from "tslog";
import { LOG_EVENTS, LOG_LEVELS, type LogEvent, type LogLevel } from "./log-event.js";

/** Fields of a log line; values must be representable in JSON. No field may be named like one that every line has. */
export type LogFields = Readonly<Record<string, unknown>> & { readonly [Name in keyof LineHead]?: never; };

/** Writes one JSON line for each event. */
export interface Log {
    event(name: LogEvent, fields?: LogFields): void;
}

/** Fields that every line begins with, besides its event. */
export interface LineHead {
    /** Wall-clock time, ISO 8601; it may jump. */
    readonly time: string;
    readonly level: string;
    readonly host: string;
    /** Random name of this run of the process. */
    readonly run: string;
    /** Rises by one with each line of a run, so that lines can be ordered although clocks jump. */
    readonly sequence: number;
    /** Steady time since the process started, in ms. */
    readonly uptimeMs: number;
}

/** Creates a log that writes JSON lines at or above a level. Without a sink it writes to standard error. */
export function createLog(host: string, level: LogLevel, sink?: (line: string) => void): Log {
    const logger = new Logger<LogFields>({ type: "hidden", minLevel: LOG_LEVELS[level], stack: { capture: "off" } });
    const write = sink ?? (line => process.stderr.write(line));
    const run = randomBytes(RUN_BYTES).toString("hex");
    let sequence = 0;
    logger.attachTransport(record => {
        sequence += 1;
        const { date, logLevelName } = record["_logMeta"] as { date: Date; logLevelName: string; };
        const head = { time: date.toISOString(), level: logLevelName.toLowerCase(), host, run, sequence };
        write(`${formatLine({ ...head, uptimeMs: Math.round(performance.now()) }, record)}\n`);
    });
    return { event: (name, fields = {}) => logger[LOG_EVENTS[name].level]({ event: name, ...fields }) };
}

/** A log that writes nothing. */
export const SILENT_LOG: Log = { event: () => undefined };

/** Enough to tell the runs in one collection of logs apart. */
const RUN_BYTES = 4;

/** Fields that tslog adds to a record; the line carries its own form of them. */
const RECORD_FIELDS: ReadonlySet<string> = new Set(["_logMeta", "event", "level", "levelId", "time"]);

function formatLine(head: LineHead, record: Readonly<Record<string, unknown>>): string {
    const fields = Object.entries(record).filter(([name]) => !RECORD_FIELDS.has(name));
    const line = { ...head, event: record["event"] };
    // The head goes first in the line, and no field replaces a part of it.
    return JSON.stringify({ ...line, ...Object.fromEntries(fields), ...line });
}
