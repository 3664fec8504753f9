import type { LocalCluster } from "../cluster/local-cluster.js";
import { connect } from "../quickstart/workload.js";
import { loadProcess, relayProcess } from "./load-process.js";
import type { LoadOptions, LoadReport } from "./load.js";
import { atLeast, atMost, type BenchContext, type Measure } from "./measure.js";
import { startUserCluster } from "./user-cluster.js";

const DATABASE = "orders";
const BUSY_CALLERS = 180;
/** The load of one node at the target size (section 1.5 of the design). */
const TARGET_CALLERS = 3_100;
const TARGET_RATE = 3_100;
const WARM_UP_MS = 3_000;
const DURATION_MS = 8_000;

const LOAD = {
    user: "quickstart",
    database: DATABASE,
    sql: "SELECT key, value FROM bench WHERE key = 'a'",
    warmUpMs: WARM_UP_MS,
    durationMs: DURATION_MS,
} as const;

/** One host process against a bare TCP relay, and against the same client directly on the endpoints. */
export const throughput: Measure = {
    names: ["throughput_ratio", "statements_per_second_one_core", "added_latency_p50", "added_latency_p99"],
    limitMs: 120_000,
    run: async context => {
        const cluster = await startUserCluster(context, {
            databases: [DATABASE],
            controlHosts: 1,
            slots: 64,
            connections: 200,
        });
        const host = cluster.anyHost();
        const client = await connect(host.url(DATABASE));
        await client.query("CREATE TABLE bench (key text primary key, value text)");
        await client.query("INSERT INTO bench VALUES ('a', 'value')");
        await client.end();
        const hostPorts = [Number(host.settings.callerAddress.split(":")[1])];
        const endpointPorts = cluster.endpoints(DATABASE).map(endpoint => endpoint.port);
        const relayed = await throughRelay(context, endpointPorts);
        const proxied = await run(context, "host", { ...LOAD, ports: hostPorts, callers: BUSY_CALLERS });
        const paced = { ...LOAD, statementsPerSecond: TARGET_RATE };
        const direct = await run(context, "direct", { ...paced, ports: endpointPorts, callers: BUSY_CALLERS });
        const added = await run(context, "paced", { ...paced, ports: hostPorts, callers: TARGET_CALLERS });
        await reportHost(context, cluster);
        return [
            {
                measure: "throughput_ratio",
                value: proxied.statementsPerSecond / relayed.statementsPerSecond,
                unit: "ratio",
                bound: atLeast(0.6),
                baseline: relayed.statementsPerSecond,
            },
            {
                measure: "statements_per_second_one_core",
                value: proxied.statementsPerSecond,
                unit: "statements/s",
                bound: atLeast(20_000),
            },
            {
                measure: "added_latency_p50",
                value: added.p50Us - direct.p50Us,
                unit: "us",
                bound: atMost(150),
                baseline: direct.p50Us,
            },
            {
                measure: "added_latency_p99",
                value: added.p99Us - direct.p99Us,
                unit: "us",
                bound: atMost(1_000),
                baseline: direct.p99Us,
            },
        ];
    },
};

async function throughRelay(context: BenchContext, endpointPorts: readonly number[]): Promise<LoadReport> {
    const relay = await relayProcess(context, endpointPorts);
    try {
        return await run(context, "relay", { ...LOAD, ports: [relay.port], callers: BUSY_CALLERS });
    }
    finally {
        await relay.child.kill();
    }
}

async function run(context: BenchContext, name: string, options: LoadOptions): Promise<LoadReport> {
    const report = await loadProcess(context, options);
    context.log(`${name}: ${JSON.stringify(report)}`);
    return report;
}

async function reportHost(context: BenchContext, cluster: LocalCluster): Promise<void> {
    const { host } = await cluster.anyHost().report();
    context.log(`host: ${JSON.stringify({ memoryBytes: host.memoryBytes, cpu: host.cpuMicroseconds })}`);
}
