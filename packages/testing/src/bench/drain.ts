import { connect } from "../quickstart/workload.js";
import { atLeast, atMost, type Measure, pause } from "./measure.js";
import { queryBytes, RawCaller } from "./raw-caller.js";
import { startUserCluster } from "./user-cluster.js";

const DATABASE = "orders";
const DRAINS = 100;
const QUICK_DRAINS = 5;
const CALLERS = 20;
const LOAD_MS = 200;
const STATEMENT_MS = 5;

interface Counts {
    answered: number;
    refused: number;
    cut: number;
}

/** Ends a host gracefully while callers send; a request is cut when its connection ends without its whole answer. */
export const drain: Measure = {
    names: ["drain_cut_requests", "drains"],
    limitMs: 240_000,
    run: async context => {
        const cluster = await startUserCluster(context, {
            databases: [DATABASE],
            entryHosts: 1,
            statementMs: STATEMENT_MS,
        });
        const client = await connect(cluster.anyHost().url(DATABASE));
        await client.query("CREATE TABLE bench (key text primary key, value text)");
        await client.end();
        const host = cluster.hosts.at(-1) ?? cluster.anyHost();
        const port = Number(host.settings.callerAddress.split(":")[1]);
        const drains = context.quick ? QUICK_DRAINS : DRAINS;
        const counts: Counts = { answered: 0, refused: 0, cut: 0 };
        for (let round = 0; round < drains; round++) {
            const callers = await startCallers(port, counts);
            await pause(LOAD_MS);
            await host.stop();
            callers.forEach(caller => caller.close());
            await host.start();
            await cluster.until("the host is ready again", () => host.ready());
        }
        context.log(`drains: ${JSON.stringify(counts)}`);
        return [
            { measure: "drain_cut_requests", value: counts.cut, unit: "requests", bound: atMost(0) },
            { measure: "drains", value: drains, unit: "drains", bound: atLeast(DRAINS) },
        ];
    },
};

/** Each caller sends the next statement a moment after the last answer, so that some are between two requests. */
async function startCallers(port: number, counts: Counts): Promise<readonly RawCaller[]> {
    const bytes = queryBytes("SELECT key, value FROM bench WHERE key = 'a'");
    const callers = await Promise.all(
        Array.from({ length: CALLERS }, () => RawCaller.connect(port, "quickstart", DATABASE)),
    );
    for (const [index, caller] of callers.entries()) {
        let open = true;
        caller.closed = () => {
            open = false;
            // A fatal error is a complete answer, after which the protocol has no ReadyForQuery.
            counts.refused += caller.busy && caller.refused ? 1 : 0;
            counts.cut += caller.busy && !caller.refused ? 1 : 0;
        };
        caller.answered = () => {
            counts.answered += 1;
            setTimeout(() => {
                if (open) {
                    caller.send(bytes);
                }
            }, index);
        };
        caller.send(bytes);
    }
    return callers;
}
