import { digestOf } from "@medlarledge/settings";
import type { LocalCluster } from "../cluster/local-cluster.js";
import { atMost, type Measure } from "./measure.js";
import { configurationFiles, startUserCluster } from "./user-cluster.js";

const DATABASE = "orders";
const STEPS = [100, 1_000, 10_000] as const;
const QUICK_STEPS = [10, 100, 300] as const;
const RESTARTS = 3;
/** The last step is left out when its changes would not be applied within this time. */
const APPLY_LIMIT_MS = 90_000;

/** From the start of a control host's process to its readiness, after many configuration changes. */
export const startup: Measure = {
    names: ["startup_ratio_10000_changes", "startup_changes"],
    limitMs: 120_000,
    run: async context => {
        const cluster = await startUserCluster(context, { databases: [DATABASE], controlHosts: 1 });
        const endsAt = performance.now() + APPLY_LIMIT_MS;
        const times: number[] = [];
        let applied = 1;
        for (const changes of context.quick ? QUICK_STEPS : STEPS) {
            for (; applied < changes && performance.now() < endsAt; applied++) {
                await applyNext(cluster, applied + 1);
            }
            times.push(await medianStartMs(cluster));
            context.log(`${applied} changes: ready ${(times.at(-1) ?? 0).toFixed(0)} ms after the start`);
        }
        const [first = NaN] = times;
        const bound = atMost(1.5);
        return [
            {
                measure: "startup_ratio_10000_changes",
                value: (times.at(-1) ?? NaN) / first,
                unit: "ratio",
                bound,
                baseline: first,
            },
            { measure: "startup_changes", value: applied, unit: "changes", bound: { kind: "atLeast", limit: 10_000 } },
        ];
    },
};

async function applyNext(cluster: LocalCluster, number: number): Promise<void> {
    const files = configurationFiles(number, { [DATABASE]: { replicaWaitMs: number % 1_000 } });
    const result = await cluster.anyHost().apply({ number, digest: digestOf(files), operator: "bench", files });
    if (result.outcome !== "accepted") {
        throw new Error(`change ${number} was answered with ${result.outcome}`);
    }
}

async function medianStartMs(cluster: LocalCluster): Promise<number> {
    const host = cluster.anyHost();
    const times: number[] = [];
    for (let restart = 0; restart < RESTARTS; restart++) {
        await host.stop();
        const startedAt = performance.now();
        await host.start();
        await cluster.until("the host is ready", () => host.ready());
        times.push(performance.now() - startedAt);
    }
    return times.sort((left, right) => left - right)[Math.floor(RESTARTS / 2)] ?? NaN;
}
