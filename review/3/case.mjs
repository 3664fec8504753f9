// A primary loses the lead while transactions are open on it and goes on as a replica: see claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Session } from "../stand-ins/client.mjs";
import { Record } from "../stand-ins/record.mjs";
import { pause, runCase, System, until } from "../stand-ins/system.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const SERVICE = "orders-main";
const ORDERS = "orders";
const STOCK = "stock";
const DOWN_MS = 100;
/** Clients of one host that read at the same time. */
const READERS = 10;
const record = new Record(dirname(fileURLToPath(import.meta.url)));
const system = new System({ record, zones: ["mechelen-a", "antwerp-b", "leuven-c"], fronts: [2, 3, 1] });
let lastId = 0;

await runCase(record, system, async () => {
    system.startMachines();
    const service = await system.addService(SERVICE, { slots: 2, connectionLimit: 16 });
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
    if (!await system.configure(routes, [{ name: SERVICE, connection_limit: 16 }]) || !await system.ready()) {
        return undefined;
    }
    const former = service.primary;
    if (await until(() => everyHostReads(), 10_000) === undefined) {
        return undefined;
    }
    if (hasTrouble) {
        record.add("platform", `${former.id} crashes`);
        former.close();
        await pause(DOWN_MS);
        await former.restart();
        record.add("platform", `${former.id} is back with its log`);
        await until(() => service.primary !== former || everyHostReads(), 1_000);
    }
    const sessions = await Promise.all(system.front.map(host => beginTransactions(host)));
    if (hasTrouble && await until(() => service.primary !== former, 5_000) === undefined) {
        return undefined;
    }
    await pause(50);
    await Promise.all(sessions.flat().map(writer => writer.goOn()));
    await pause(300);
    const breaks = [];
    for (let round = 0; round < 12; round += 1) {
        const found = await Promise.all(system.front.map(host => readStock(host, service)));
        breaks.push(...found.flat());
    }
    for (const text of breaks) {
        record.add("case", `PINNED: ${text}`);
    }
    record.add("case", `${breaks.length} breaks; the primary is ${service.primary.id}, it was ${former.id}`);
    return hasTrouble && service.primary === former ? undefined : breaks.length === 0;
});


function nextId(name) {
    lastId += 1;
    return `${name}-${lastId}`;
}

async function open(name, host, database) {
    const session = new Session(name, record);
    return await session.open(host.service, database) ? session : undefined;
}

async function everyHostReads() {
    const answers = await Promise.all(system.front.map(async host => {
        const session = await open("client-first", host, ORDERS);
        const answer = await session?.ask(nextId("first"), "READ a1");
        session?.close();
        return answer?.kind === "answer" && answer.end.startsWith("DONE");
    }));
    return answers.every(Boolean);
}

/** Clients of every second host set values, those of the others prepare statements. */
function setsValues(host) {
    return system.front.indexOf(host) % 2 === 0;
}

/**
 * Two clients of a host begin a transaction. In it they later set a value, or run a statement that they have prepared
 * before.
 */
async function beginTransactions(host) {
    const writers = await Promise.all([1, 2].map(async number => {
        const session = await open(`writer${number}@${host.ip}`, host, ORDERS);
        if (!setsValues(host)) {
            await session?.ask(nextId("p"), "PREPARE s1 READ q2c");
        }
        await beginTransaction(session);
        const goOn = async () => {
            if (setsValues(host)) {
                await session.ask(nextId("s"), "SET language nl");
            }
            await session.ask(nextId("s"), setsValues(host) ? "READ a2" : "EXECUTE s1 a2");
            await session.ask(nextId("s"), "ROLLBACK");
        };
        return { session, goOn };
    }));
    return writers.filter(({ session }) => session !== undefined);
}

/** Begins a transaction and writes in it; again after a refusal, as clients do. */
async function beginTransaction(session) {
    await until(async () => {
        await session?.ask(nextId("w"), "BEGIN");
        const answer = await session?.ask(nextId("w"), "WRITE a4 data");
        if (answer?.end?.startsWith("DONE") === true || session?.isClosed !== false) {
            return true;
        }
        await session.ask(nextId("w"), "ROLLBACK");
        return false;
    }, 2_000);
}

/** Clients that set a value, or prepare a statement, and read stock. Returns what breaks the rule. */
async function readStock(host, service) {
    const clients = Array.from(
        { length: READERS },
        () => setsValues(host) ? readWithValue(host, service) : readPrepared(host),
    );
    return (await Promise.all(clients)).filter(text => text !== undefined);
}

async function readWithValue(host, service) {
    const session = await open(`stock@${host.ip}`, host, STOCK);
    const isSet = (await session?.ask(nextId("r"), "SET language nl"))?.end === "DONE -";
    const id = nextId("r");
    const answer = isSet ? await session.ask(id, "READ b1") : undefined;
    session?.close();
    const run = service.runs.findLast(other => other.id === id);
    return answer?.end?.startsWith("DONE") === true && run.values !== "language=nl"
        ? `${id} ran at ${run.backend} with the values "${run.values}", its client has set language=nl`
        : undefined;
}

async function readPrepared(host) {
    const session = await open(`stock@${host.ip}`, host, STOCK);
    const isPrepared = (await session?.ask(nextId("r"), "PREPARE s1 READ q2c"))?.end === "DONE -";
    const id = nextId("r");
    const answer = isPrepared ? await session.ask(id, "EXECUTE s1 b2") : undefined;
    session?.close();
    return answer?.end?.startsWith("ERROR NOSTMT") === true
        ? `${id} gets "${answer.end}", though its client's PREPARE was acknowledged`
        : undefined;
}
