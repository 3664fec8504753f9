import { BoundedLog } from "./bounded-log.js";
import { LineWriter } from "./line-writer.js";
import type { LogLevel } from "./log-event.js";
import { createLog, type Log } from "./log.js";
import type { Meter } from "./metric.js";

const STANDARD_OUTPUT = 1;

/** What was left out of the log is told this often, the unit of its budgets. */
const REPORT_MS = 1_000;

/** The log of a process, on standard output. */
export interface ProcessLog extends Log {
    /** Measures what was left out and lost. */
    measure(meter: Meter): void;
    /** Resolves when the last lines are written. */
    flush(): Promise<void>;
}

/** Creates a log on standard output that never waits for its reader and whose volume is bounded. */
export function createProcessLog(host: string, level: LogLevel): ProcessLog {
    const writer = new LineWriter(STANDARD_OUTPUT);
    const log = new BoundedLog(createLog(host, level, line => writer.line(line)), () => performance.now());
    setInterval(() => log.report(), REPORT_MS).unref();
    return {
        event: (name, fields) => log.event(name, fields),
        measure: meter => {
            meter.gauge("log.dropped", log.dropped);
            meter.gauge("log.lost", writer.lost);
        },
        flush: () => {
            log.report();
            return writer.flush();
        },
    };
}
