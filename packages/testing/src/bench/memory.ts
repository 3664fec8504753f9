import { connect } from "../quickstart/workload.js";
import { type Measure, pause } from "./measure.js";
import { queryBytes, RawCaller } from "./raw-caller.js";
import { startUserCluster } from "./user-cluster.js";

const DATABASE = "orders";
const CALLERS = 3_000;
const BATCH = 50;
const SETTLE_MS = 3_000;
const BUSY_MS = 5_000;
const KIB = 1_024;

/** Growth of a host's resident memory by callers that are connected only, and by callers that send all the time. */
export const memory: Measure = {
    names: ["memory_per_idle_caller_kib", "memory_per_busy_caller_kib"],
    limitMs: 60_000,
    run: async context => {
        const cluster = await startUserCluster(context, { databases: [DATABASE], slots: 64, connections: 200 });
        const host = cluster.anyHost();
        const client = await connect(host.url(DATABASE));
        await client.query("CREATE TABLE bench (key text primary key, value text)");
        await client.end();
        const port = Number(host.settings.callerAddress.split(":")[1]);
        const memoryBytes = async (): Promise<number> => (await host.report()).host.memoryBytes;
        const before = await memoryBytes();
        const callers: RawCaller[] = [];
        while (callers.length < CALLERS) {
            const batch = Array.from({ length: BATCH }, () => RawCaller.connect(port, "quickstart", DATABASE));
            callers.push(...await Promise.all(batch));
        }
        await pause(SETTLE_MS);
        const idle = await memoryBytes();
        const bytes = queryBytes("SELECT key, value FROM bench WHERE key = 'a'");
        for (const caller of callers) {
            caller.answered = () => caller.send(bytes);
            caller.send(bytes);
        }
        await pause(BUSY_MS);
        const busy = await memoryBytes();
        callers.forEach(caller => caller.close());
        return [
            { measure: "memory_per_idle_caller_kib", value: (idle - before) / CALLERS / KIB, unit: "KiB" },
            { measure: "memory_per_busy_caller_kib", value: (busy - before) / CALLERS / KIB, unit: "KiB" },
        ];
    },
};
