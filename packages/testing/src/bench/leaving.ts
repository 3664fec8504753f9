import { connect } from "../quickstart/workload.js";
import { atMost, type Measure, pause } from "./measure.js";
import { queryBytes, RawCaller } from "./raw-caller.js";
import { startUserCluster } from "./user-cluster.js";

const DATABASE = "orders";
const CALLERS = 12;
const LOAD_MS = 1_000;
const WATCH_MS = 4_000;
const POLL_MS = 20;
/** Set by the requirement that a leaving endpoint gets no new work after 2 s. */
const LIMIT_MS = 2_000;

/**
 * From a replica's announcement that it leaves to the last time at which it was seen to run a statement on tables. The
 * slots in use and the most that were wanted since the last look are read from the endpoint.
 */
export const leaving: Measure = {
    names: ["leaving_endpoint_last_work_ms"],
    limitMs: 40_000,
    run: async context => {
        const cluster = await startUserCluster(context, { databases: [DATABASE], statementMs: 5 });
        const client = await connect(cluster.anyHost().url(DATABASE));
        await client.query("CREATE TABLE bench (key text primary key, value text)");
        await client.end();
        const bytes = queryBytes("SELECT key, value FROM bench WHERE key = 'a'");
        for (let index = 0; index < CALLERS; index++) {
            const host = cluster.hosts[index % cluster.hosts.length] ?? cluster.anyHost();
            const port = Number(host.settings.callerAddress.split(":")[1]);
            const caller = await RawCaller.connect(port, "quickstart", DATABASE);
            caller.answered = () => caller.send(bytes);
            caller.send(bytes);
        }
        const replica = cluster.endpoints(DATABASE)[1];
        await pause(LOAD_MS);
        await replica?.order("reset-counts");
        await pause(LOAD_MS);
        if (replica === undefined || (await replica.status()).slots.maxWanted === 0) {
            throw new Error("the replica served no statement before it left");
        }
        const leftAt = performance.now();
        await replica.order("leave");
        let lastWorkMs = 0;
        while (performance.now() - leftAt < WATCH_MS) {
            await replica.order("reset-counts");
            await pause(POLL_MS);
            // An endpoint without connections may have been taken as left; it runs nothing either way.
            if ((await replica.status()).slots.maxWanted > 0) {
                lastWorkMs = performance.now() - leftAt;
            }
        }
        return [{ measure: "leaving_endpoint_last_work_ms", value: lastWorkMs, unit: "ms", bound: atMost(LIMIT_MS) }];
    },
};
