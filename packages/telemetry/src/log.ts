import { Logger } from "tslog";

/** Levels from the most to the least talkative, with tslog's numbers. */
export const LOG_LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;
export type LogLevel = keyof typeof LOG_LEVELS;

/** Every event name that may stand in a log line, with its level and meaning. */
export const LOG_EVENTS = {
    hostStarted: { level: "info", meaning: "The process listens on its addresses." },
    hostStopping: { level: "info", meaning: "A graceful shutdown began." },
    hostStopped: { level: "info", meaning: "The process ends; `cut` counts the requests it had to cut." },
    storeFailed: { level: "error", meaning: "The data folder cannot be read or written; the host stops." },
    peerConnected: { level: "info", meaning: "A connection to another process is open." },
    peerDisconnected: { level: "warn", meaning: "A connection to another process closed." },
    peerRefused: { level: "warn", meaning: "Another process was refused: certificate, protocol or identity." },
    messageRejected: { level: "warn", meaning: "A message of another process could not be decoded." },
    leaderChanged: { level: "info", meaning: "The control group has another leader, or none." },
    leaseLost: { level: "warn", meaning: "This host may not acknowledge writes at present." },
    leaseRegained: { level: "info", meaning: "This host may acknowledge writes again." },
    configurationInForce: { level: "info", meaning: "A configuration took effect on this host." },
    configurationAnswered: { level: "info", meaning: "The leader answered a proposed configuration change." },
    folderInvalid: { level: "warn", meaning: "The watched folder holds findings and was not proposed." },
    endpointAnnounced: { level: "info", meaning: "A new endpoint, or a new state of one, was accepted." },
    announcementRefused: { level: "warn", meaning: "An announcement was refused: signature, form or age." },
    endpointClosed: { level: "warn", meaning: "An endpoint closed or refused connections." },
    endpointSilent: { level: "warn", meaning: "A probe of an endpoint has not been answered for `forMs`." },
    failoverStep: { level: "warn", meaning: "A failover reached its next step." },
    controlEvent: { level: "info", meaning: "A decision of the leader; `name` tells which." },
    callerRejected: { level: "warn", meaning: "A caller was refused at start-up or sent invalid bytes." },
    burnAlert: { level: "error", meaning: "An error budget burns faster than its objective allows." },
    unexpected: { level: "error", meaning: "A failure that no handler expected; please report it." },
} as const satisfies Record<string, { readonly level: LogLevel; readonly meaning: string; }>;
export type LogEvent = keyof typeof LOG_EVENTS;

/** Fields of a log line; values must be representable in JSON. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes one JSON line for each event. */
export interface Log {
    event(name: LogEvent, fields?: LogFields): void;
}

/** Creates a log that writes JSON lines at or above a level. Without a sink it writes to standard error. */
export function createLog(host: string, level: LogLevel, sink?: (line: string) => void): Log {
    const logger = new Logger<LogFields>({ type: "hidden", minLevel: LOG_LEVELS[level], stack: { capture: "off" } });
    const write = sink ?? (line => process.stderr.write(line));
    logger.attachTransport(record => write(`${formatLine(host, record)}\n`));
    return { event: (name, fields = {}) => logger[LOG_EVENTS[name].level]({ event: name, ...fields }) };
}

/** A log that writes nothing. */
export const SILENT_LOG: Log = { event: () => undefined };

/** Fields that tslog adds to a record; the line carries its own form of them. */
const RECORD_FIELDS: ReadonlySet<string> = new Set(["_logMeta", "event", "level", "levelId", "time"]);

function formatLine(host: string, record: Readonly<Record<string, unknown>>): string {
    const { date, logLevelName } = record["_logMeta"] as { date: Date; logLevelName: string; };
    const fields = Object.entries(record).filter(([name]) => !RECORD_FIELDS.has(name));
    const level = logLevelName.toLowerCase();
    return JSON.stringify({ time: date, level, host, event: record["event"], ...Object.fromEntries(fields) });
}
