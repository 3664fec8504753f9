import { readFileSync } from "node:fs";
import type { RawCaller } from "./raw-caller.js";

const TICKS_PER_SECOND = 100;

/** What one phase of load on one process showed. */
export interface PhaseResult {
    readonly perSecond: number;
    readonly failed: number;
    readonly cpuMicrosecondsPerStatement: number;
    readonly p50Microseconds: number;
    readonly p99Microseconds: number;
}

/** Runs every caller in a closed loop, or all together at a rate of statements per second, for a bounded time. */
export async function runPhase(
    callers: readonly RawCaller[],
    bytes: Buffer,
    durationMs: number,
    pid: number,
    rate: number | undefined,
): Promise<PhaseResult> {
    const latencies: number[] = [];
    let failed = 0;
    const endAt = performance.now() + durationMs;
    const one = (caller: RawCaller, then: () => void): void => {
        const startedAt = performance.now();
        caller.send(bytes, ok => {
            latencies.push(performance.now() - startedAt);
            failed += ok ? 0 : 1;
            then();
        });
    };
    const cpuBefore = cpuSeconds(pid);
    const startedAt = performance.now();
    await (rate === undefined ? closedLoop(callers, one, endAt) : paced(callers, one, endAt, rate));
    const seconds = (performance.now() - startedAt) / 1_000;
    const cpu = cpuSeconds(pid) - cpuBefore;
    latencies.sort((left, right) => left - right);
    const quantile = (share: number): number =>
        Math.round((latencies[Math.floor(latencies.length * share)] ?? 0) * 1_000);
    return {
        perSecond: Math.round(latencies.length / seconds),
        failed,
        cpuMicrosecondsPerStatement: Math.round(cpu * 1e7 / Math.max(1, latencies.length)) / 10,
        p50Microseconds: quantile(0.5),
        p99Microseconds: quantile(0.99),
    };
}

type One = (caller: RawCaller, then: () => void) => void;

async function closedLoop(callers: readonly RawCaller[], one: One, endAt: number): Promise<void> {
    await Promise.all(callers.map(caller =>
        new Promise<void>(resolve => {
            const next = (): void => {
                if (performance.now() >= endAt) {
                    resolve();
                }
                else {
                    one(caller, next);
                }
            };
            next();
        })
    ));
}

/** Sends on idle callers at even times; the loop polls, because timers of 1 ms would send in bursts. */
async function paced(callers: readonly RawCaller[], one: One, endAt: number, rate: number): Promise<void> {
    const idle = [...callers];
    const startedAt = performance.now();
    let sent = 0;
    while (performance.now() < endAt) {
        const due = (performance.now() - startedAt) * rate / 1_000;
        const caller = sent < due ? idle.shift() : undefined;
        if (caller !== undefined) {
            sent += 1;
            one(caller, () => idle.push(caller));
        }
        await new Promise(resolve => setImmediate(resolve));
    }
    while (idle.length < callers.length) {
        await new Promise(resolve => setTimeout(resolve, 1));
    }
}

function cpuSeconds(pid: number): number {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
    return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}
