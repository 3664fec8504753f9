import { fitLine, type Line, type Point } from "./fit.js";

const MICROSECONDS_PER_SECOND = 1_000_000;

export type Print = (record: Readonly<Record<string, unknown>>) => void;

/** Processor time of this process so far, user and system, in seconds. */
export function cpuSeconds(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / MICROSECONDS_PER_SECOND;
}

/** Processor time of one call, in seconds, as the smallest of several: other load only adds to it. */
export function leastCpu(repeats: number, work: () => void): number {
    let least = Number.POSITIVE_INFINITY;
    for (let index = 0; index < repeats; index++) {
        const before = cpuSeconds();
        work();
        least = Math.min(least, cpuSeconds() - before);
    }
    return least;
}

/** Bytes in use on the heap and outside it after a full collection; needs --expose-gc. */
export function usedBytes(): number {
    globalThis.gc?.();
    globalThis.gc?.();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}

export function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Prints the points of one quantity and the line through them. */
export function printFit(print: Print, name: string, x: string, y: string, points: readonly Point[]): void {
    print({ fit: name, x, y, points: points.map(point => [point.x, round(point.y)]), ...roundAll(fitLine(points)) });
}

function roundAll({ slope, base, r2 }: Line): Line {
    return { slope: round(slope), base: round(base), r2: round(r2) };
}

/** Four significant digits. */
export function round(value: number): number {
    return Number(value.toPrecision(4));
}
