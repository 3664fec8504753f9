// The replica that has all acknowledged commits is replaced as planned, and the primary crashes just then: see claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Backend, call } from "../stand-ins/backend.mjs";
import { Session } from "../stand-ins/client.mjs";
import { Record } from "../stand-ins/record.mjs";
import { pause, runCase, System } from "../stand-ins/system.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const SERVICE = "orders-main";
const ORDERS = "orders";
const WRITERS = 6;
const DRAIN_MS = 7_000;
/** The other replica receives nothing for this time; the site's figure. */
const DEAF_MS = 6_500;
/** From the end of the replaced replica to the crash of the primary. */
const GAP_MS = Number(process.env.GAP_MS ?? 300);
/** From the end of the replaced replica to the start of its successor, with its log, at its address. */
const SUCCESSOR_MS = 1_500;
const record = new Record(dirname(fileURLToPath(import.meta.url)));
const system = new System({ record, zones: ["mechelen-a", "antwerp-b", "leuven-c"], fronts: [2, 3, 1] });
const acknowledged = new Set();
const lost = [];
let isEnding = false;
let lastId = 0;

await runCase(record, system, async () => {
    system.startMachines();
    const service = await system.addService(SERVICE, { slots: 2, connectionLimit: 16, syncReplicas: 1 });
    for (const backend of service.backends) {
        backend.workMs = () => 3;
        backend.control = () => controlOf(backend);
    }
    service.promoted = chosen => {
        const held = new Set(chosen.log.flatMap(({ ids }) => ids));
        lost.push(...[...acknowledged].filter(id => !held.has(id)));
        record.add("case", `${chosen.id} is promoted; of ${acknowledged.size} acknowledged commits it lacks ${lost.length}`);
    };
    const routes = [{ host: ORDERS, route_kind: "primary", timeout_ms: 800, target_latency_ms: 100, service: SERVICE }];
    const services = [{ name: SERVICE, connection_limit: 16, sync_replicas: 1 }];
    if (!await system.configure(routes, services) || !await system.ready()) {
        return undefined;
    }
    const clients = Array.from({ length: WRITERS }, (_, index) => write(index));
    await pause(3_000);
    const former = service.primary;
    const [replaced, deaf] = service.backends.filter(backend => backend !== former);
    if (hasTrouble) {
        record.add("platform", `${replaced.id} is to be replaced: it drains`);
        replaced.isDraining = true;
        if (!await replaced.beat()) {
            return undefined;
        }
        await pause(DRAIN_MS - 3_000);
        record.add("platform", `${deaf.id} receives nothing for ${DEAF_MS} ms`);
        deaf.isDeaf = true;
        setTimeout(() => (deaf.isDeaf = false), DEAF_MS);
        await pause(3_200);
        await deregister(replaced);
        replaced.close();
        record.add("platform", `${replaced.id} has ended with ${replaced.log.length} commits`);
        setTimeout(() => void succeed(service, replaced), SUCCESSOR_MS);
        await pause(GAP_MS);
        record.add("platform", `${former.id} crashes with ${former.log.length} commits`);
        former.close();
        await pause(8_000);
    }
    else {
        await pause(15_000);
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

/** A backend calls the control host of its own zone, and the others when that does not answer. */
function controlOf({ zone }) {
    const near = system.core.filter(machine => machine.zone === zone);
    return [...near, ...system.core.filter(machine => machine.zone !== zone)].map(machine => machine.service);
}

async function deregister({ id, zone }) {
    for (const address of controlOf({ zone })) {
        if (await call(address, "POST", `/v1/Instances.Deregister/${id}`, "{}", 1_000) === 200) {
            record.add("platform", `${id} says that it leaves now; acknowledged by ${address}`);
            return;
        }
    }
}

/** "Its log is transferred to a new backend at its address." */
async function succeed(service, { id, host, port, zone, slots, connectionLimit, log, applied, term }) {
    const successor = new Backend({
        id: `${id}-new`, service, host, port, zone, slots, connectionLimit, control: () => controlOf({ zone }), record,
    });
    successor.workMs = () => 3;
    const isBehind = service.term > term;
    successor.log = isBehind ? log.filter(commit => service.primary.log.includes(commit)) : [...log];
    successor.applied = Math.min(applied, successor.log.length);
    successor.term = service.term;
    await successor.listen();
    record.add("platform", `${successor.id} has started at its address with ${log.length} commits`);
}

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
                acknowledged.add(id);
            }
            await pause(40);
        }
        await pause(100);
        session.close();
    }
}
