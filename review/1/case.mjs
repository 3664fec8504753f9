// An entry host is killed while another one runs orders for it, and is restarted: see claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Session } from "../stand-ins/client.mjs";
import { Record } from "../stand-ins/record.mjs";
import { pause, runCase, System, until } from "../stand-ins/system.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const DATABASE = "seats";
const SERVICE = "seatbook";
const CLIENTS = 7;
const record = new Record(dirname(fileURLToPath(import.meta.url)));
const system = new System({ record, zones: ["ams", "utr", "ehv"], fronts: [3, 2, 2] });

await runCase(record, system, async () => {
    system.startMachines();
    const service = await system.addService(SERVICE, { slots: 3, connectionLimit: 41 });
    const routes = [{ host: DATABASE, route_kind: "primary", timeout_ms: 2_000, target_latency_ms: 500, service: SERVICE }];
    if (!await system.configure(routes, [{ name: SERVICE, connection_limit: 41 }]) || !await system.ready()) {
        return undefined;
    }
    const [host] = system.front;
    await pause(2_500);
    const first = await openSession("client-0", host);
    if (first === undefined || (await first.ask("q-first", "READ a1")).end.startsWith("ERROR")) {
        return undefined;
    }
    // Ordinary traffic at all hosts, so that they have some connections open.
    await Promise.all(system.front.map(async (other, index) => round(`warm-${index}`, other, "READ").answered));
    if (hasTrouble) {
        record.add("platform", "the primary turns slow: five times the longest work, 1,100 ms a statement");
        service.primary.workMs = () => 1_100;
    }
    const before = round("old", host, "READ");
    await pause(200);
    if (hasTrouble) {
        host.signal("SIGKILL");
        await until(() => host.starts === 2, 5_000);
    }
    await before.sent;
    const after = round("new", host, "WRITE");
    const answers = [...await before.answered, ...await after.answered];
    const foreign = answers.filter(({ id, answer }) =>
        isSuccess(answer) && !service.hasSigned(id, answer)
    );
    await pause(1_500);
    for (const { id, answer } of foreign) {
        record.add("case", `MIXED: ${id} has a success that no backend signed for it: ${[...answer.rows, answer.end].join(" | ")}`);
        if (!service.primary.log.some(commit => commit.ids.includes(id))) {
            record.add("case", `${id} was never committed, though its client has a success for the write`);
        }
    }
    const served = answers.filter(({ answer }) => isSuccess(answer)).length;
    record.add("case", `${answers.length} requests, ${served} successes, ${foreign.length} of them foreign`);
    return served === 0 ? undefined : foreign.length === 0;
});

function isSuccess(answer) {
    return answer.kind === "answer" && answer.end.startsWith("DONE");
}

/** Requests of several clients at the same time, each over a session of its own. */
function round(name, host, verb) {
    const sent = Promise.all(Array.from({ length: CLIENTS }, async (_, index) => {
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
