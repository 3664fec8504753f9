import type { LocalCluster } from "../cluster/local-cluster.js";
import { atLeast, atMost, type BenchContext, type Measure, pause } from "./measure.js";
import { startUserCluster } from "./user-cluster.js";
import { Writer } from "./writer.js";

const DATABASE = "orders";
const ROUNDS = 20;
const QUICK_ROUNDS = 3;
const WRITERS = 4;
/** Time for the resumed host and primary to go on with what they were doing. */
const AFTER_RESUME_MS = 500;
const BETWEEN_MS = 300;

/**
 * Stops the primary and the entry host of its callers until another primary serves, and lets both continue: what that
 * host acknowledges afterwards must be at the new primary.
 */
export const oldPrimary: Measure = {
    names: ["acknowledged_by_old_primary", "acknowledged_by_old_primary_rounds"],
    limitMs: 90_000,
    run: async context => {
        const cluster = await startUserCluster(context, { databases: [DATABASE], entryHosts: 1, lagMs: 20 });
        const host = cluster.hosts.at(-1) ?? cluster.anyHost();
        const writers = await Promise.all(
            Array.from({ length: WRITERS }, (_, index) => Writer.start(host.url(DATABASE), `writer-${index}`)),
        );
        const rounds = context.quick ? QUICK_ROUNDS : ROUNDS;
        let wrong = 0;
        for (let round = 0; round < rounds; round++) {
            wrong += await runRound(context, cluster, writers);
        }
        await Promise.all(writers.map(writer => writer.stop()));
        return [
            { measure: "acknowledged_by_old_primary", value: wrong, unit: "writes", bound: atMost(0) },
            { measure: "acknowledged_by_old_primary_rounds", value: rounds, unit: "rounds", bound: atLeast(ROUNDS) },
        ];
    },
};

async function runRound(
    context: BenchContext,
    cluster: LocalCluster,
    writers: readonly Writer[],
): Promise<number> {
    await cluster.until("the primary has two replicas", async () => {
        const primary = await cluster.primaryOf(DATABASE);
        return primary !== undefined && (await primary.status()).followers === 2;
    });
    await pause(BETWEEN_MS);
    const old = await cluster.primaryOf(DATABASE);
    const host = cluster.hosts.at(-1);
    host?.pause();
    old?.pause();
    await cluster.until("another primary serves", async () => {
        const next = await cluster.primaryOf(DATABASE);
        return next !== undefined && next.id !== old?.id;
    });
    const startedAt = performance.now();
    // The host continues first, and meets answers of the old primary that it has not read yet.
    host?.resume();
    old?.resume();
    await pause(AFTER_RESUME_MS);
    const acknowledged = writers.flatMap(writer => writer.acknowledgedSince(startedAt));
    const next = await cluster.primaryOf(DATABASE);
    const present = new Set((await next?.rows("bench") ?? []).map(row => row.key));
    const wrong = acknowledged.filter(key => !present.has(key));
    context.log(`${old?.id ?? ""} to ${next?.id ?? ""}: ${acknowledged.length} acknowledged, ${wrong.length} missing`);
    // A former primary does not follow by itself: a new replica takes its name.
    if (old !== undefined && next !== undefined) {
        await old.kill();
        await cluster.addEndpoint(DATABASE, old.id, next);
    }
    return wrong.length;
}
