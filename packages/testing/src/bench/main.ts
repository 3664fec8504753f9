import { dirname } from "node:path";
import { LocalCluster } from "../cluster/local-cluster.js";
import { type BenchContext, isWithin, type Measure, type Result } from "./measure.js";
import { MEASURES } from "./measures.js";

const TOTAL_LIMIT_MS = 600_000;
const LONG_LIMIT_MS = 1_800_000;

/** Clusters of the running measure; they end with it, also when its time is up. */
const clusters: LocalCluster[] = [];

const context: BenchContext = {
    programs: dirname(process.argv[1] ?? "dist"),
    quick: process.argv.includes("--quick"),
    long: process.argv.includes("--long"),
    startCluster: async options => {
        const cluster = await LocalCluster.start({
            ...options,
            programs: context.programs,
            keepFolder: process.env["MEDLARLEDGE_KEEP"] !== undefined,
        });
        clusters.push(cluster);
        return cluster;
    },
    log: line => process.stderr.write(`${line}\n`),
};

function selected(): readonly Measure[] {
    const index = process.argv.indexOf("--only");
    const prefix = index < 0 ? "" : process.argv[index + 1] ?? "";
    return MEASURES.filter(measure => measure.names.some(name => name.startsWith(prefix)));
}

function print(result: Result): boolean {
    const { measure, value, unit, bound, baseline } = result;
    const rounded = Math.round(value * 1_000) / 1_000;
    const within = isWithin(result);
    process.stdout.write(`${
        JSON.stringify({
            measure,
            value: Number.isFinite(rounded) ? rounded : null,
            unit,
            bound: bound === undefined ? null : bound.limit,
            within,
            baseline: baseline === undefined ? null : Math.round(baseline * 1_000) / 1_000,
        })
    }\n`);
    return within;
}

/** Runs a measure for at most its time limit; one that fails is out of bounds under each of its names. */
async function runOne(measure: Measure, limitMs: number): Promise<boolean> {
    let timer: NodeJS.Timeout | undefined;
    const expired = new Promise<never>((_, reject) => {
        timer = setTimeout(() => reject(new Error(`not complete within ${limitMs} ms`)), limitMs);
    });
    try {
        const results = await Promise.race([measure.run(context), expired]);
        return results.map(print).every(Boolean);
    }
    catch (error) {
        context.log(`${measure.names[0] ?? ""}: ${error instanceof Error ? error.message : String(error)}`);
        for (const cluster of clusters) {
            const report = await cluster.anyHost().report().catch(() => undefined);
            context.log(JSON.stringify(report?.cluster));
        }
        measure.names.forEach(name => print({ measure: name, value: NaN, unit: "failed", bound: FAILED }));
        return false;
    }
    finally {
        clearTimeout(timer);
        await Promise.all(clusters.splice(0).map(cluster => cluster.stop()));
    }
}

const FAILED = { kind: "atMost", limit: 0 } as const;

async function main(): Promise<boolean> {
    const measures = selected();
    const endsAt = performance.now() + (context.long ? LONG_LIMIT_MS : TOTAL_LIMIT_MS);
    let held = measures.length > 0;
    for (const measure of measures) {
        const remainingMs = Math.max(0, endsAt - performance.now());
        held = await runOne(measure, Math.min(measure.limitMs, remainingMs)) && held;
    }
    return held;
}

// Each process that a cluster runs is ended at exit, by a listener of its own.
process.setMaxListeners(200);
// The listeners at exit end what was started; a signal by itself would not run them.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => process.exit(1));
}
main().then(
    held => process.exit(held ? 0 : 1),
    (error: unknown) => {
        process.stderr.write(`bench: ${error instanceof Error ? error.message : String(error)}\n`);
        process.exit(1);
    },
);
