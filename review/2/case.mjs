// A replica receives nothing for a while and the primary crashes meanwhile, in a service with synchronous replicas: see
// claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Session } from "../stand-ins/client.mjs";
import { Record } from "../stand-ins/record.mjs";
import { pause, runCase, System, until } from "../stand-ins/system.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const SERVICE = "orders-main";
const ORDERS = "orders";
const STOCK = "stock";
/** Work of a read, as the users' table states it for stock-read. */
const READ_MS = 15;
const WRITE_MS = 3;
const READERS = 16;
const WRITERS = 4;
const record = new Record(dirname(fileURLToPath(import.meta.url)));
const system = new System({ record, zones: ["mechelen-a", "antwerp-b", "leuven-c"], fronts: [2, 3, 1] });
const acknowledged = [];
const lost = [];
let isEnding = false;
let lastId = 0;

await runCase(record, system, async () => {
    system.startMachines();
    const service = await system.addService(SERVICE, { slots: 2, connectionLimit: 16, syncReplicas: 1 });
    for (const backend of service.backends) {
        backend.workMs = (_, text) => text.startsWith("item") ? READ_MS : WRITE_MS;
    }
    service.promoted = chosen => {
        const held = new Set(chosen.log.flatMap(({ ids }) => ids));
        lost.push(...acknowledged.filter(id => !held.has(id)));
        record.add("case", `${chosen.id} is promoted; of ${acknowledged.length} acknowledged commits it lacks ${lost.length}`);
    };
    const routes = [
        { host: ORDERS, route_kind: "primary", timeout_ms: 800, target_latency_ms: 100, service: SERVICE },
        {
            host: STOCK,
            route_kind: "bounded_staleness",
            timeout_ms: 1_200,
            target_latency_ms: 300,
            max_staleness_ms: 1_500,
            service: SERVICE,
        },
    ];
    const services = [{ name: SERVICE, connection_limit: 16, sync_replicas: 1 }];
    if (!await system.configure(routes, services) || !await system.ready()) {
        return undefined;
    }
    const clients = [
        ...Array.from({ length: WRITERS }, (_, index) => write(index)),
        ...Array.from({ length: READERS }, (_, index) => read(index)),
    ];
    await pause(4_000);
    const former = service.primary;
    const [synced, deaf] = service.backends.filter(backend => backend !== former);
    if (hasTrouble) {
        record.add("platform", `${deaf.id} receives nothing; ${synced.id} does`);
        deaf.isDeaf = true;
        await pause(3_000);
        record.add("platform", `${former.id} crashes`);
        former.close();
        await pause(3_000);
        deaf.isDeaf = false;
    }
    else {
        await pause(6_000);
    }
    isEnding = true;
    await Promise.all(clients);
    for (const id of lost.slice(0, 10)) {
        record.add("case", `LOST: ${id} was acknowledged and is not in the log of the backend that was promoted`);
    }
    record.add("case", `${acknowledged.length} commits acknowledged, ${lost.length} lost, ${system.promotions.length} promotions`);
    return acknowledged.length === 0 || (hasTrouble && system.promotions.length === 0) ? undefined : lost.length === 0;
});

function nextId(name) {
    lastId += 1;
    return `${name}-${lastId}`;
}

/** A client that repeats an operation on sessions at one host until the end. */
async function repeat(name, index, database, operate) {
    const host = system.front[index % system.front.length];
    while (!isEnding) {
        const session = new Session(`${name}@${host.ip}`, record);
        const isOpen = await session.open(host.service, database);
        while (isOpen && !session.isClosed && !isEnding) {
            await operate(session);
        }
        await pause(100);
        session.close();
    }
}

function write(index) {
    return repeat("writer", index, ORDERS, async session => {
        const id = nextId("w");
        const answer = await session.ask(id, `WRITE order-${id} data`);
        if (answer.kind === "answer" && answer.end.startsWith("DONE")) {
            acknowledged.push(id);
        }
        await pause(40);
    });
}

function read(index) {
    return repeat("reader", index, STOCK, async session => {
        await session.ask(nextId("r"), `READ item-${index}`);
        await pause(5);
    });
}
