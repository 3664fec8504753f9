// A promotion call without an answer is carried out late, on a platform that checks no fences: see claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Session } from "../stand-ins/client.mjs";
import { Record } from "../stand-ins/record.mjs";
import { pause, runCase, System, until } from "../stand-ins/system.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const SERVICE = "franchise-ledger";
const SETTLE = "settle";
const PRICES = "prices";
const READ_MS = 15;
const WRITE_MS = 3;
const READERS = 6;
const WRITERS = 6;
const ROUNDS = 11;
/** "carried out 2 to 12 s later" */
const LATE_MS = 3_000;
const DOWN_MS = 3_000;
const record = new Record(dirname(fileURLToPath(import.meta.url)));
const system = new System({
    record,
    zones: ["kochi-a", "kochi-b", "kollam-c"],
    fronts: [2, 2, 2],
    requireFencing: false,
});
/** Writes that a backend committed after another one had been promoted. */
const committedLate = new Map();
const breaks = [];
let acknowledged = 0;
let isEnding = false;
let lastId = 0;

await runCase(record, system, async () => {
    system.startMachines();
    const service = await system.addService(SERVICE, { slots: 2, connectionLimit: 16 });
    service.promoteMs = 1_000;
    service.formerGoesOnMs = 1_000;
    for (const backend of service.backends) {
        backend.workMs = (_, text) => text.startsWith("item") ? READ_MS : WRITE_MS;
    }
    service.committed = (backend, { ids }) => {
        if (backend !== service.primary) {
            ids.forEach(id => committedLate.set(id, `${backend.id}, ${lateBy(service)} ms after ${service.primary.id} took the lead`));
        }
    };
    const routes = [
        { host: SETTLE, route_kind: "primary", timeout_ms: 800, target_latency_ms: 100, service: SERVICE },
        {
            host: PRICES,
            route_kind: "bounded_staleness",
            timeout_ms: 1_200,
            target_latency_ms: 300,
            max_staleness_ms: 1_500,
            service: SERVICE,
        },
    ];
    if (!await system.configure(routes, [{ name: SERVICE, connection_limit: 16 }]) || !await system.ready()) {
        return undefined;
    }
    const clients = [
        ...Array.from({ length: WRITERS }, (_, index) => write(index)),
        ...Array.from({ length: READERS }, (_, index) => read(index)),
    ];
    await pause(4_000);
    for (let round = 0; round < ROUNDS && breaks.length === 0; round += 1) {
        await playRound(service, hasTrouble);
    }
    isEnding = true;
    await Promise.all(clients);
    breaks.forEach(text => record.add("case", `ONE: ${text}`));
    record.add("case", `${acknowledged} writes acknowledged, ${breaks.length} of them committed by a deposed primary`);
    return acknowledged === 0 || (hasTrouble && system.promotions.length < 2) ? undefined : breaks.length === 0;
});

function lateBy(service) {
    return Math.round(performance.now() - service.promotedAt);
}

async function playRound(service, isTroubled) {
    const former = service.primary;
    let calls = 0;
    if (isTroubled) {
        // The first call of the round gets no answer and is carried out late.
        system.lateMs = () => {
            calls += 1;
            return calls === 1 ? LATE_MS : undefined;
        };
    }
    record.add("platform", `${former.id} crashes`);
    former.close();
    await pause(DOWN_MS);
    await former.restart();
    record.add("platform", `${former.id} is back`);
    await until(() => service.primary !== former, 10_000);
    await pause(LATE_MS + 1_500);
}

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
    return repeat("writer", index, SETTLE, async session => {
        const id = nextId("w");
        const answer = await session.ask(id, `WRITE batch-${id} data`);
        if (answer.kind === "answer" && answer.end.startsWith("DONE")) {
            acknowledged += 1;
            const late = committedLate.get(id);
            if (late !== undefined) {
                breaks.push(`${id} was acknowledged, committed by ${late}`);
            }
        }
        await pause(40);
    });
}

function read(index) {
    return repeat("reader", index, PRICES, async session => {
        await session.ask(nextId("r"), `READ item-${index}`);
        await pause(5);
    });
}
