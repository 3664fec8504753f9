import { digestOf } from "@medlarledge/settings";
import { build } from "hdr-histogram-js";
import { atMost, type Measure, pause } from "./measure.js";
import { configurationFiles, startUserCluster } from "./user-cluster.js";

const DATABASE = "orders";
const CHANGES = 100;
const QUICK_CHANGES = 10;
const ENTRY_HOSTS = 4;
const POLL_MS = 10;
const CHANGE_LIMIT_MS = 10_000;

/** From a change's acceptance to the moment at which the last of 7 hosts has it in force, by one machine's clock. */
export const configuration: Measure = {
    names: ["config_in_force_p99", "config_in_force_p50"],
    limitMs: 90_000,
    run: async context => {
        const cluster = await startUserCluster(context, { databases: [DATABASE], entryHosts: ENTRY_HOSTS });
        const times = build();
        const changes = context.quick ? QUICK_CHANGES : CHANGES;
        for (let number = 2; number < changes + 2; number++) {
            const files = configurationFiles(number, { [DATABASE]: { replicaWaitMs: number % 1_000 } });
            const host = cluster.hosts[number % cluster.hosts.length] ?? cluster.anyHost();
            const sentAt = Date.now();
            const result = await host.apply({ number, digest: digestOf(files), operator: "bench", files });
            if (result.outcome !== "accepted") {
                throw new Error(`change ${number} was answered with ${result.outcome}`);
            }
            let last = 0;
            const deadline = Date.now() + CHANGE_LIMIT_MS;
            while (last === 0 && Date.now() < deadline) {
                const reports = await Promise.all(cluster.hosts.map(each => each.report()));
                const inForce = reports.map(report => report.host.configuration);
                if (inForce.every(each => each?.number === number)) {
                    last = Math.max(...inForce.map(each => each?.since ?? 0));
                }
                else {
                    await pause(POLL_MS);
                }
            }
            times.recordValue(last === 0 ? CHANGE_LIMIT_MS : Math.max(0, last - sentAt));
        }
        // The time starts when the change is sent, which is before its acceptance: the figure is an upper limit.
        const bound = atMost(250);
        return [
            { measure: "config_in_force_p99", value: times.getValueAtPercentile(99), unit: "ms", bound },
            { measure: "config_in_force_p50", value: times.getValueAtPercentile(50), unit: "ms" },
        ];
    },
};
