import { build } from "hdr-histogram-js";
import { pause } from "./measure.js";
import { queryBytes, RawCaller } from "./raw-caller.js";

const CONNECT_BATCH = 50;
const MICROSECONDS = 1_000;

export interface LoadOptions {
    /** The callers are spread evenly over these ports. */
    readonly ports: readonly number[];
    readonly user: string;
    readonly database: string;
    readonly callers: number;
    readonly sql: string;
    readonly warmUpMs: number;
    readonly durationMs: number;
    /** Without it each caller sends its next statement with the answer to the last one. */
    readonly statementsPerSecond?: number;
}

export interface LoadReport {
    readonly statementsPerSecond: number;
    readonly p50Us: number;
    readonly p99Us: number;
    readonly failed: number;
}

/** Sends statements for a set time and reports the rate and the latencies. */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
    const bytes = queryBytes(options.sql);
    const callers = await connectAll(options);
    const latencies = build();
    let failed = 0;
    let measuring = false;
    let stopped = false;
    for (const caller of callers) {
        caller.closed = () => {
            failed += 1;
        };
        caller.answered = wasFailed => {
            if (measuring) {
                latencies.recordValue(Math.round((performance.now() - caller.sentAt) * MICROSECONDS));
                failed += wasFailed ? 1 : 0;
            }
            if (options.statementsPerSecond === undefined && !stopped) {
                caller.send(bytes);
            }
        };
    }
    const pacer = options.statementsPerSecond === undefined
        ? undefined
        : startPacer(callers, bytes, options.statementsPerSecond);
    if (pacer === undefined) {
        callers.forEach(caller => caller.send(bytes));
    }
    await pause(options.warmUpMs);
    measuring = true;
    const startedAt = performance.now();
    await pause(options.durationMs);
    measuring = false;
    const seconds = (performance.now() - startedAt) / 1_000;
    stopped = true;
    clearInterval(pacer);
    callers.forEach(caller => caller.close());
    return {
        statementsPerSecond: latencies.totalCount / seconds,
        p50Us: latencies.getValueAtPercentile(50),
        p99Us: latencies.getValueAtPercentile(99),
        failed,
    };
}

/** Sends at a set rate, each statement on the next caller; one that still waits for its answer is left out. */
function startPacer(callers: readonly RawCaller[], bytes: Buffer, perSecond: number): NodeJS.Timeout {
    const startedAt = performance.now();
    let sent = 0;
    return setInterval(() => {
        const due = (performance.now() - startedAt) * perSecond / 1_000;
        for (; sent < due; sent++) {
            const caller = callers[sent % callers.length];
            if (caller !== undefined && !caller.busy) {
                caller.send(bytes);
            }
        }
    }, 1);
}

async function connectAll({ ports, user, database, callers }: LoadOptions): Promise<readonly RawCaller[]> {
    const connected: RawCaller[] = [];
    while (connected.length < callers) {
        const count = Math.min(CONNECT_BATCH, callers - connected.length);
        const batch = Array.from({ length: count }, (_, index) => {
            const port = ports[(connected.length + index) % ports.length] ?? 0;
            return RawCaller.connect(port, user, database);
        });
        connected.push(...await Promise.all(batch));
    }
    return connected;
}
