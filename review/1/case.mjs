// An entry host is killed while another one runs orders for it, and is restarted: see claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Session } from "../stand-ins/client.mjs";
import { Record } from "../stand-ins/record.mjs";
import { pause, runCase, System, until } from "../stand-ins/system.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const DATABASE = "seats";
const SERVICE = "seatbook";
const PLACE = { slots: 3, connectionLimit: 41 };
const CLIENTS = 6;
const WARM_CLIENTS = 4;
const ATTEMPTS = 3;
const record = new Record(dirname(fileURLToPath(import.meta.url)));
const system = new System({ record, zones: ["ams", "utr", "ehv"], fronts: [3, 2, 2] });

await runCase(record, system, async () => {
    system.startMachines();
    // Three services as on the site; one is used.
    const service = await system.addService(SERVICE, PLACE);
    const others = await Promise.all([2, 3].map(number => system.addService(`${SERVICE}${number}`, PLACE)));
    const services = [service, ...others].map(({ name }) => ({ name, connection_limit: PLACE.connectionLimit }));
    const routes = [{ host: DATABASE, route_kind: "primary", timeout_ms: 2_000, target_latency_ms: 500, service: SERVICE }];
    if (!await system.configure(routes, services) || !await system.ready()) {
        return undefined;
    }
    await pause(2_500);
    const first = await openSession("client-0", system.front[0]);
    if (first === undefined || (await first.ask("q-first", "READ a1")).end.startsWith("ERROR")) {
        return undefined;
    }
    // Ordinary traffic at all hosts, so that they have some connections open.
    await warmUp(0);
    const foreign = [];
    let served = 0;
    for (let attempt = 1; attempt <= ATTEMPTS && foreign.length === 0; attempt += 1) {
        const answers = await killAndRestart(system.front[attempt], attempt, service);
        const successes = answers.filter(({ answer }) => isSuccess(answer));
        served += successes.length;
        foreign.push(...successes.filter(({ id, answer }) => !service.hasSigned(id, answer)));
        record.add("case", `round ${attempt}: ${answers.length} requests, ${successes.length} successes, ${foreign.length} foreign`);
        await pause(2_500);
        await warmUp(attempt);
    }
    for (const { id, answer } of foreign) {
        record.add("case", `MIXED: ${id} has a success that no backend signed for it: ${[...answer.rows, answer.end].join(" | ")}`);
        if (!service.primary.log.some(commit => commit.ids.includes(id))) {
            record.add("case", `${id} was never committed, though its client has a success for the write`);
        }
    }
    return served === 0 ? undefined : foreign.length === 0;
});

/** One host after the other, so that no order waits for a connection. */
async function warmUp(attempt) {
    for (const [index, host] of system.front.entries()) {
        await round(`warm-${attempt}-${index}`, host, "READ", WARM_CLIENTS).answered;
    }
}

/** Kills a host while others run reads for it; clients of the restarted host write. Returns the clients' answers. */
async function killAndRestart(host, attempt, service) {
    const { primary } = service;
    const usualWorkMs = primary.workMs;
    if (hasTrouble) {
        record.add("platform", "the primary turns slow: five times the longest work, 1,100 ms a statement");
        primary.workMs = () => 1_100;
    }
    const before = round(`old-${attempt}`, host, "READ");
    await pause(200);
    if (hasTrouble) {
        const { starts } = host;
        host.signal("SIGKILL");
        await until(() => host.starts > starts, 5_000);
    }
    await before.sent;
    const after = round(`new-${attempt}`, host, "WRITE");
    const answers = [...await before.answered, ...await after.answered];
    primary.workMs = usualWorkMs;
    return answers;
}

function isSuccess(answer) {
    return answer.kind === "answer" && answer.end.startsWith("DONE");
}

/** Requests of several clients at the same time, each over a session of its own. */
function round(name, host, verb, clients = CLIENTS) {
    const sent = Promise.all(Array.from({ length: clients }, async (_, index) => {
        const session = await openSession(`client-${index + 1}`, host);
        const id = `q-${name}-${index + 1}`;
        return { id, answered: session?.ask(id, `${verb} item-${name}-${index + 1}${verb === "WRITE" ? " data" : ""}`) };
    }));
    const answered = sent.then(reads =>
        Promise.all(reads.map(async ({ id, answered }) => ({ id, answer: await answered ?? { kind: "closed" } })))
    );
    return { sent, answered };
}

function openSession(name, host) {
    return until(async () => {
        const session = new Session(name, record);
        return await session.open(host.service, DATABASE) ? session : undefined;
    }, 4_000);
}
