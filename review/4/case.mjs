// A heartbeat of another writer names an address that no machine can have: see claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { call } from "../stand-ins/backend.mjs";
import { Session } from "../stand-ins/client.mjs";
import { Record } from "../stand-ins/record.mjs";
import { pause, runCase, System, until } from "../stand-ins/system.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const DATABASE = "orders";
const SERVICE = "orders-main";
/** Ends of processes by themselves on a tenth of the machines, two at least, with which the day counts 0. */
const ENDS = 3;
/** The leader ends about every 2 s, another host each time. */
const WATCHED_MS = 25_000;
const record = new Record(dirname(fileURLToPath(import.meta.url)));
const system = new System({ record, zones: ["mechelen-a", "antwerp-b", "leuven-c"], fronts: [2, 3, 1] });

await runCase(record, system, async () => {
    system.startMachines();
    await system.addService(SERVICE, { slots: 2, connectionLimit: 16 });
    const routes = [{ host: DATABASE, route_kind: "primary", timeout_ms: 800, target_latency_ms: 100, service: SERVICE }];
    if (!await system.configure(routes, [{ name: SERVICE, connection_limit: 16 }]) || !await system.ready()) {
        return undefined;
    }
    // Until its first contact with a primary a host refuses reads.
    const before = await until(async () => await readAtEachHost("before") === system.front.length, 10_000);
    if (before === undefined) {
        return undefined;
    }
    if (hasTrouble) {
        const body = JSON.stringify({
            // A service that the configuration doesn't name; with NAMED=1 the one that it names.
            service: process.env.NAMED === "1" ? SERVICE : "payroll",
            address: `127.${system.network}.1.250:80800`,
            zone: "mechelen-a",
            version: "v1",
            slots: 2,
            state: "ready",
            cold_remaining_ms: 0,
            database_role: "replica",
            sequence: 1,
            born: Date.now(),
        });
        const [address] = system.controlAddresses();
        const status = await call(address, "POST", "/v1/Instances.Heartbeat/i-other", body, 1_000);
        record.add("other writer", `heartbeat ${body}: ${status}`);
    }
    await pause(WATCHED_MS);
    const machines = [...system.front, ...system.core];
    const after = await readAtEachHost("after");
    for (const { name, ends } of machines) {
        record.add("case", `${name}: ${ends.length} ends by itself${ends.length > 0 ? `, the last with ${ends.at(-1)}` : ""}`);
    }
    const failing = machines.filter(({ ends }) => ends.length >= ENDS).length;
    record.add("case", `reads at the ${system.front.length} hosts afterwards: ${after} with success`);
    record.add("case", `${failing} of ${machines.length} machines with ${ENDS} ends or more`);
    return failing < Math.max(2, machines.length / 10);
});

/** Number of hosts at which a client's read succeeds. */
async function readAtEachHost(name) {
    const answers = await Promise.all(system.front.map(async (host, index) => {
        const session = new Session(`client-${name}`, record);
        if (!await session.open(host.service, DATABASE)) {
            record.add(session.name, `cannot open a session at ${host.name}`);
            return undefined;
        }
        const answer = await session.ask(`q-${name}-${index}`, `READ item-${index}`);
        session.close();
        return answer.end;
    }));
    return answers.filter(end => end?.startsWith("DONE")).length;
}
