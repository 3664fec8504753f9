import type { ClusterOptions, LocalCluster } from "../cluster/local-cluster.js";

export type Bound = { readonly kind: "atMost" | "atLeast"; readonly limit: number; };

/** One measured figure. A figure without a stated target has no bound. */
export interface Result {
    readonly measure: string;
    readonly value: number;
    readonly unit: string;
    readonly bound?: Bound;
    /** What the value is compared with, from the same run. */
    readonly baseline?: number;
}

export interface BenchContext {
    /** Folder with the bundled programs. */
    readonly programs: string;
    /** Fewer repetitions, for trying a measure out. */
    readonly quick: boolean;
    /** More repetitions than fit into the benchmark's time, for measures that state it. */
    readonly long: boolean;
    /** Starts a cluster that ends with the measure. */
    startCluster(options: Omit<ClusterOptions, "programs">): Promise<LocalCluster>;
    log(line: string): void;
}

export interface Measure {
    /** Names of the results; `--only` matches their beginnings. */
    readonly names: readonly string[];
    readonly limitMs: number;
    run(context: BenchContext): Promise<readonly Result[]>;
}

export function atMost(limit: number): Bound {
    return { kind: "atMost", limit };
}

export function atLeast(limit: number): Bound {
    return { kind: "atLeast", limit };
}

export function isWithin(result: Result): boolean {
    if (result.bound === undefined) {
        return true;
    }
    const { kind, limit } = result.bound;
    // Written so that a value that is no number is out of bounds.
    return kind === "atMost" ? result.value <= limit : result.value >= limit;
}

export function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
