import { build } from "hdr-histogram-js";
import type { LocalCluster } from "../cluster/local-cluster.js";
import type { LocalEndpoint } from "../cluster/local-endpoint.js";
import { atLeast, atMost, type BenchContext, type Measure, pause, type Result } from "./measure.js";
import { startUserCluster } from "./user-cluster.js";
import { Writer } from "./writer.js";

/** 200 failovers, half of them with each user's latency (section 1.6 of the design). */
const FAILOVERS_PER_USER = 100;
const QUICK_FAILOVERS_PER_USER = 8;
const ONE_WAY_DELAYS_MS = [1, 1.5] as const;
const DATABASES = { replica: ["replica1", "replica2"], primary: ["primary1", "primary2"] } as const;
const ALL = [...DATABASES.replica, ...DATABASES.primary];
const FAILOVER_LIMIT_MS = 10_000;

interface Totals {
    readonly gaps: ReturnType<typeof build>;
    failovers: number;
    falseOutcomes: number;
    readonly lost: { replica: number; primary: number; };
    readonly latencies: { readonly replica: number[]; readonly primary: number[]; };
}

function acknowledge(database: string): "replica" | "primary" {
    return database.startsWith("replica") ? "replica" : "primary";
}

/** Kills primaries one after the other while a caller of each database writes all the time. */
export const failover: Measure = {
    names: [
        "failover_gap_p50",
        "failover_gap_p99",
        "failover_false_outcome",
        "acknowledged_writes_lost_replica",
        "acknowledged_writes_lost_primary",
        "acknowledge_replica_latency_ratio",
        "failovers",
    ],
    limitMs: 400_000,
    run: async context => {
        const totals: Totals = {
            gaps: build({ highestTrackableValue: 60_000 }),
            failovers: 0,
            falseOutcomes: 0,
            lost: { replica: 0, primary: 0 },
            latencies: { replica: [], primary: [] },
        };
        for (const delayMs of ONE_WAY_DELAYS_MS) {
            // The figures of the failovers so far are reported; the missing ones make the number too small.
            await measureUser(context, delayMs, totals).catch((error: unknown) => {
                context.log(error instanceof Error ? error.message : String(error));
            });
        }
        return resultsOf(totals);
    },
};

async function measureUser(context: BenchContext, delayMs: number, totals: Totals): Promise<void> {
    const cluster = await startUserCluster(context, {
        databases: ALL,
        lagMs: 20,
        delayMs,
        databaseSettings: Object.fromEntries(ALL.map(name => [name, { acknowledge: acknowledge(name) }])),
    });
    const writers = await Promise.all(ALL.map((name, index) => {
        const host = cluster.hosts[index % cluster.hosts.length] ?? cluster.anyHost();
        return Writer.start(host.url(name));
    }));
    await pause(1_000);
    writers.forEach((writer, index) => totals.latencies[acknowledge(ALL[index] ?? "")].push(writer.medianLatencyMs()));
    const count = context.quick ? QUICK_FAILOVERS_PER_USER : FAILOVERS_PER_USER;
    try {
        for (let round = 0; round < count; round++) {
            const index = round % ALL.length;
            const writer = writers[index];
            if (writer !== undefined) {
                await failOver(context, cluster, ALL[index] ?? "", round, writer, totals);
            }
        }
    }
    catch (error) {
        await describe(context, cluster);
        throw error;
    }
    await Promise.all(writers.map(writer => writer.stop()));
    for (const [index, name] of ALL.entries()) {
        await compareOutcomes(context, cluster, name, writers[index], totals);
    }
    await cluster.stop();
}

/** The endpoint that is killed must have its two replicas back, as a database has them between failures. */
async function failOver(
    context: BenchContext,
    cluster: LocalCluster,
    database: string,
    round: number,
    writer: Writer,
    totals: Totals,
): Promise<void> {
    let primary: LocalEndpoint | undefined;
    await cluster.until(`${database} has a primary with two replicas`, async () => {
        primary = await cluster.primaryOf(database);
        return primary !== undefined && (await primary.status()).followers === 2;
    });
    const killedAt = performance.now();
    // The process is gone when this resolves; the kill is sent before.
    await primary?.kill();
    await cluster.until(
        `${database} accepts writes`,
        () => Promise.resolve(writer.lastSentAt > killedAt),
        FAILOVER_LIMIT_MS,
    );
    const gapMs = writer.firstAcknowledgedAfter(killedAt) - killedAt;
    totals.gaps.recordValue(Math.round(gapMs));
    totals.failovers += 1;
    context.log(`failover ${round} of ${database}: ${gapMs.toFixed(0)} ms`);
    await cluster.until(`${database} has a new primary`, async () => await cluster.primaryOf(database) !== undefined);
    const next = await cluster.primaryOf(database);
    // The new replica takes the name of the killed one, so that nobody waits for the killed one to answer.
    if (next !== undefined && primary !== undefined) {
        await cluster.addEndpoint(database, primary.id, next);
    }
}

/**
 * An acknowledged row that is missing is lost; a row that was reported as not run must not be there. A statement that
 * ran on the killed primary only leaves no trace, so it is not seen here.
 */
async function compareOutcomes(
    context: BenchContext,
    cluster: LocalCluster,
    database: string,
    writer: Writer | undefined,
    totals: Totals,
): Promise<void> {
    const primary = await cluster.primaryOf(database);
    const present = new Set((await primary?.rows("bench") ?? []).map(row => row.key));
    const lost = writer?.acknowledged.filter(key => !present.has(key)) ?? [];
    const ranAnyway = writer?.notRun.filter(key => present.has(key)) ?? [];
    totals.lost[acknowledge(database)] += lost.length;
    const mustHold = acknowledge(database) === "replica" ? lost.length : 0;
    totals.falseOutcomes += ranAnyway.length + mustHold;
    context.log(
        `${database}: ${writer?.summary() ?? ""}; lost ${lost.length}, run although "not run" ${ranAnyway.length}`,
    );
}

/** What a run that goes wrong looks like from outside. */
async function describe(context: BenchContext, cluster: LocalCluster): Promise<void> {
    const { cluster: report } = await cluster.anyHost().report();
    context.log(JSON.stringify(report));
    for (const endpoint of ALL.flatMap(name => cluster.endpoints(name)).filter(each => each.running)) {
        const status = await endpoint.status().catch(() => undefined);
        context.log(JSON.stringify({ database: endpoint.database, ...status }));
    }
}

function resultsOf(totals: Totals): readonly Result[] {
    const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
    const primaryMs = mean(totals.latencies.primary);
    const { gaps, lost } = totals;
    return [
        { measure: "failover_gap_p50", value: gaps.getValueAtPercentile(50), unit: "ms", bound: atMost(400) },
        { measure: "failover_gap_p99", value: gaps.getValueAtPercentile(99), unit: "ms", bound: atMost(900) },
        { measure: "failover_false_outcome", value: totals.falseOutcomes, unit: "requests", bound: atMost(0) },
        { measure: "acknowledged_writes_lost_replica", value: lost.replica, unit: "writes", bound: atMost(0) },
        { measure: "acknowledged_writes_lost_primary", value: lost.primary, unit: "writes" },
        {
            measure: "acknowledge_replica_latency_ratio",
            value: mean(totals.latencies.replica) / primaryMs,
            unit: "ratio of medians",
            baseline: primaryMs,
        },
        {
            measure: "failovers",
            value: totals.failovers,
            unit: "failovers",
            bound: atLeast(ONE_WAY_DELAYS_MS.length * FAILOVERS_PER_USER),
        },
    ];
}
