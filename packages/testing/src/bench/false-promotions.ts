import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { LocalCluster } from "../cluster/local-cluster.js";
import { atMost, type Measure, pause } from "./measure.js";
import { startUserCluster } from "./user-cluster.js";

const SEED = 20_261_204;
const ONE_WAY_MS = 1;
const JITTER_MS = 20;
const LOSS_SHARE = 0.01;
/** TCP sends a lost segment again after about 200 ms, so a loss is a delay to the streams above it. */
const RETRANSMISSION_MS = 200;
const DURATION_MS = 60_000;
const LONG_DURATION_MS = 600_000;

/** Primaries replaced although none failed, with jitter and loss between hosts and to endpoints. */
export const falsePromotions: Measure = {
    names: ["false_promotions", "false_promotions_time"],
    limitMs: LONG_DURATION_MS + 60_000,
    run: async context => {
        const generator = xoroshiro128plus(SEED);
        const random = (): number => (generator.next() >>> 0) / 2 ** 32;
        const cluster = await startUserCluster(context, { databases: ["orders", "dealers"], delayMs: ONE_WAY_MS });
        const before = await terms(cluster);
        cluster.setDelay(() => ONE_WAY_MS + random() * JITTER_MS + (random() < LOSS_SHARE ? RETRANSMISSION_MS : 0));
        const durationMs = context.long ? LONG_DURATION_MS : DURATION_MS;
        await pause(context.quick ? DURATION_MS / 10 : durationMs);
        cluster.setDelay(() => ONE_WAY_MS);
        await pause(1_000);
        const value = await terms(cluster) - before;
        const seconds = (context.quick ? DURATION_MS / 10 : durationMs) / 1_000;
        return [
            { measure: "false_promotions", value, unit: "promotions", bound: atMost(0) },
            { measure: "false_promotions_time", value: seconds, unit: "s" },
        ];
    },
};

async function terms(cluster: LocalCluster): Promise<number> {
    const { cluster: report } = await cluster.anyHost().report();
    return report.databases.reduce((sum, database) => sum + (database.term ?? 0), 0);
}
