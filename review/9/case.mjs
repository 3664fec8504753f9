// A promotion call without an answer is carried out after the former primary is in use again: see claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Session } from "../stand-ins/client.mjs";
import { Record } from "../stand-ins/record.mjs";
import { pause, runCase, System, until } from "../stand-ins/system.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const SERVICE = "orders-main";
const ORDERS = "orders";
const WRITERS = 6;
/** The primary is down for this time; the site allows 7 s. */
const DOWN_MS = 400;
/** "carried out 2 to 12 s later" */
const LATE_MS = 7_000;
/** The replica receives nothing for this time at most; the site's figure. */
const DEAF_MS = 6_500;
const record = new Record(dirname(fileURLToPath(import.meta.url)));
const system = new System({ record, zones: ["mechelen-a", "antwerp-b", "leuven-c"], fronts: [2, 3, 1] });
/** Acknowledged writes and when the client had the answer. */
const acknowledged = new Map();
const lost = [];
let isEnding = false;
let lastId = 0;

await runCase(record, system, async () => {
    system.startMachines();
    const service = await system.addService(SERVICE, { slots: 2, connectionLimit: 16, syncReplicas: 1 });
    service.backends.forEach(backend => (backend.workMs = () => 3));
    service.promoted = chosen => {
        const held = new Set(chosen.log.flatMap(({ ids }) => ids));
        lost.push(...[...acknowledged.keys()].filter(id => !held.has(id)));
        record.add("case", `${chosen.id} is promoted; of ${acknowledged.size} acknowledged commits it lacks ${lost.length}`);
    };
    const routes = [{ host: ORDERS, route_kind: "primary", timeout_ms: 800, target_latency_ms: 100, service: SERVICE }];
    const services = [{ name: SERVICE, connection_limit: 16, sync_replicas: 1 }];
    if (!await system.configure(routes, services) || !await system.ready()) {
        return undefined;
    }
    const clients = Array.from({ length: WRITERS }, (_, index) => write(index));
    await pause(4_000);
    const former = service.primary;
    let late;
    if (hasTrouble) {
        system.lateMs = order => {
            if (late !== undefined) {
                return undefined;
            }
            late = order;
            return LATE_MS;
        };
        record.add("platform", `${former.id} crashes`);
        former.close();
        await pause(DOWN_MS);
        await former.restart();
        record.add("platform", `${former.id} is back with its log, and leads`);
        if (await until(() => late, 3_000) === undefined) {
            return undefined;
        }
        await pause(1_300);
        if (process.env.DEAF !== "0") {
            const named = service.backend(late.id);
            record.add("platform", `${named.id} receives nothing for ${DEAF_MS} ms`);
            named.isDeaf = true;
            await pause(DEAF_MS);
            named.isDeaf = false;
        }
        else {
            await pause(DEAF_MS);
        }
        await pause(3_000);
    }
    else {
        await pause(14_000);
    }
    isEnding = true;
    await Promise.all(clients);
    for (const id of lost.slice(0, 10)) {
        record.add("case", `LOST: ${id} was acknowledged and is not in the log of the backend that was promoted`);
    }
    const calls = system.promotions.map(({ id, fence }) => `${id} with ${fence}`).join(", ");
    record.add("case", `${acknowledged.size} commits acknowledged, ${lost.length} lost; promotions: ${calls}`);
    return acknowledged.size === 0 ? undefined : lost.length === 0;
});

/** A client that writes on sessions at one host until the end. */
async function write(index) {
    const host = system.front[index % system.front.length];
    while (!isEnding) {
        const session = new Session(`writer@${host.ip}`, record);
        const isOpen = await session.open(host.service, ORDERS);
        while (isOpen && !session.isClosed && !isEnding) {
            lastId += 1;
            const id = `w-${lastId}`;
            const answer = await session.ask(id, `WRITE order-${id} data`);
            if (answer.kind === "answer" && answer.end.startsWith("DONE")) {
                acknowledged.set(id, performance.now());
            }
            await pause(40);
        }
        await pause(100);
        session.close();
    }
}
