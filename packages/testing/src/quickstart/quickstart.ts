import type { ConfigurationFile } from "@medlarledge/protocol";
import { mkdir, writeFile } from "node:fs/promises";
import { dirname, join } from "node:path";
import type { Client } from "pg";
import { LocalCluster } from "../cluster/local-cluster.js";
import { connect, isVisible, write, type WriteResult } from "./workload.js";

const DATABASE = "orders";
const WRITES_BEFORE = 100;
const READS = 200;
const WRITES_AFTER = 20;

/** The new primary must accept a write within this time. */
const FAILOVER_LIMIT_MS = 10_000;

const FOLDER: readonly ConfigurationFile[] = [
    { name: "00-number.jsonc", text: `{ "number": 1 } // raise this with every change` },
    { name: "10-orders.jsonc", text: `{ "databases": { "orders": { "acknowledge": "replica" } } }` },
    { name: "20-users.jsonc", text: `{ "users": { "quickstart": { "password": "trust" } } }` },
];

type Print = (line: string) => void;

interface Findings {
    readonly results: WriteResult[];
    staleReads: number;
    reads: number;
    failoverGapMs: number;
    lost: number;
}

/** Runs the whole path on loopback: write, read elsewhere, lose the primary, go on. True when every invariant held. */
export async function runQuickstart(stay: boolean, print: Print): Promise<boolean> {
    const startedAt = performance.now();
    const step: Print = line => print(`[${((performance.now() - startedAt) / 1_000).toFixed(1)} s] ${line}`);
    step("starting three control-and-entry hosts and three endpoints");
    const cluster = await LocalCluster.start({
        programs: dirname(process.argv[1] ?? "dist"),
        hosts: [
            { id: "mechelen-1", dataCentre: "mechelen", control: true },
            { id: "antwerp-1", dataCentre: "antwerp", control: true },
            { id: "leuven-1", dataCentre: "leuven", control: true },
        ],
        databases: [DATABASE],
        endpointPlaces: ["mechelen", "antwerp", "leuven"],
        slots: 2,
        connections: 16,
        lagMs: 5,
        keepFolder: process.env["MEDLARLEDGE_KEEP"] !== undefined,
    });
    try {
        const held = await exercise(cluster, step, print);
        if (stay) {
            await waitForInterrupt(cluster, print);
        }
        return held;
    }
    finally {
        await cluster.stop();
    }
}

async function exercise(cluster: LocalCluster, step: Print, print: Print): Promise<boolean> {
    await cluster.until("a leader accepts the configuration", async () => {
        const outcome = await cluster.apply(1, FOLDER);
        return outcome === "accepted" || outcome === "alreadyAccepted";
    });
    step("configuration 1 accepted");
    await cluster.ready();
    step("all hosts serve");
    const [first, second] = cluster.hosts;
    if (first === undefined || second === undefined) {
        throw new Error("two hosts are needed");
    }
    const clients = [await connect(first.url(DATABASE)), await connect(second.url(DATABASE))] as const;
    const findings: Findings = { results: [], staleReads: 0, reads: 0, failoverGapMs: 0, lost: 0 };
    await clients[0].query("CREATE TABLE orders (key text primary key, value text)");
    await writeAndRead(clients, findings);
    step(`${WRITES_BEFORE} writes through ${first.id}, each read back through ${second.id}`);
    await readOnly(clients[1], findings);
    await loseThePrimary(cluster, clients[0], findings, step);
    await clients[0].end();
    await clients[1].end();
    const replicaReads = await countReplicaReads(cluster);
    return report(findings, replicaReads, print);
}

/** Each write is read through the other host at once; the session travels as a token. */
async function writeAndRead([writer, reader]: readonly [Client, Client], findings: Findings): Promise<void> {
    const token = sessionToken(writer);
    for (let index = 0; index < WRITES_BEFORE; index++) {
        const result = await write(writer, `before-${index}`);
        findings.results.push(result);
        await reader.query(`SET medlarledge.session = '${token()}'`);
        findings.reads += 1;
        if (result.outcome === "acknowledged" && !await isVisible(reader, result.key)) {
            findings.staleReads += 1;
        }
    }
}

async function readOnly(reader: Client, findings: Findings): Promise<void> {
    for (let index = 0; index < READS; index++) {
        findings.reads += 1;
        if (!await isVisible(reader, `before-${index % WRITES_BEFORE}`)) {
            findings.staleReads += 1;
        }
    }
}

async function loseThePrimary(cluster: LocalCluster, writer: Client, findings: Findings, step: Print): Promise<void> {
    const { cluster: before } = await cluster.anyHost().report();
    const old = before.databases.find(database => database.database === DATABASE);
    const primary = cluster.endpoints(DATABASE).find(endpoint => endpoint.id === old?.primary);
    step(`killing the primary ${old?.primary ?? ""}`);
    const killedAt = performance.now();
    await primary?.kill();
    findings.failoverGapMs = await untilAcknowledged(writer, findings, killedAt);
    const { cluster: after } = await cluster.anyHost().report();
    const current = after.databases.find(database => database.database === DATABASE);
    step(`${current?.primary ?? "nobody"} is the primary of term ${current?.term ?? 0}`);
    const next = cluster.endpoints(DATABASE).find(endpoint => endpoint.id === current?.primary);
    for (let index = 0; index < WRITES_AFTER; index++) {
        findings.results.push(await write(writer, `after-${index}`));
    }
    const visible = new Set((await next?.rows("orders") ?? []).map(row => row.key));
    const acknowledged = findings.results.filter(result => result.outcome === "acknowledged");
    findings.lost = acknowledged.filter(result => !visible.has(result.key)).length;
}

/** Goes on with the same connection until a write is acknowledged; returns the time since the kill. */
async function untilAcknowledged(writer: Client, findings: Findings, killedAt: number): Promise<number> {
    for (let attempt = 0; performance.now() - killedAt < FAILOVER_LIMIT_MS; attempt++) {
        const result = await write(writer, `during-${attempt}`);
        findings.results.push(result);
        if (result.outcome === "acknowledged") {
            return result.at - killedAt;
        }
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    const last = findings.results.at(-1);
    throw new Error(`no write was accepted after the primary was killed; the last one: ${last?.text ?? ""}`);
}

/** Keeps the last session token that the proxy reported to a client. */
function sessionToken(client: Client): () => string {
    let token = "";
    const { connection } = client as unknown as { connection: NodeJS.EventEmitter; };
    connection.on("parameterStatus", (message: { parameterName: string; parameterValue: string; }) => {
        if (message.parameterName === "medlarledge.session") {
            token = message.parameterValue;
        }
    });
    return () => token;
}

/** Reads that replicas served by the counts of the hosts, which are sent every ten seconds. */
async function countReplicaReads(
    cluster: LocalCluster,
): Promise<{ readonly reads: number; readonly replica: number; }> {
    let counts = { reads: 0, replica: 0 };
    await cluster.until("the hosts have sent their counts", async () => {
        const response = await fetch(`http://${cluster.anyHost().settings.httpAddress}/v1/burn`);
        const burn = await response.json() as {
            databases: { database: string; totals: Record<string, { reads: number; replicaReads: number; }>; }[];
        };
        const total = burn.databases.find(database => database.database === DATABASE)?.totals["1 h"];
        counts = { reads: total?.reads ?? 0, replica: total?.replicaReads ?? 0 };
        return counts.reads >= READS;
    });
    return counts;
}

function report(
    findings: Findings,
    replicas: { readonly reads: number; readonly replica: number; },
    print: Print,
): boolean {
    const count = (outcome: WriteResult["outcome"]): number =>
        findings.results.filter(result => result.outcome === outcome).length;
    const share = replicas.reads === 0 ? 0 : replicas.replica / replicas.reads;
    print("");
    print(`reads by replicas            ${(share * 100).toFixed(1)} % of ${replicas.reads}`);
    print(`reads that missed a write    ${findings.staleReads} of ${findings.reads}`);
    print(`failover gap                 ${findings.failoverGapMs.toFixed(0)} ms`);
    print(`writes acknowledged          ${count("acknowledged")}`);
    print(`writes not run               ${count("notRun")}`);
    print(`unknown outcomes             ${count("unknown")}`);
    print(`acknowledged writes lost     ${findings.lost}`);
    const held = findings.staleReads === 0 && findings.lost === 0
        && count("acknowledged") >= WRITES_BEFORE + WRITES_AFTER;
    print(held ? "every invariant held" : "an invariant was violated");
    return held;
}

/** Writes the configuration in force to a folder, as a start for changes of it. */
async function writeFolder(parent: string): Promise<string> {
    const folder = join(parent, "configuration");
    await mkdir(folder);
    await Promise.all(FOLDER.map(({ name, text }) => writeFile(join(folder, name), `${text}\n`)));
    return folder;
}

async function waitForInterrupt(cluster: LocalCluster, print: Print): Promise<void> {
    print("");
    print(`settings and logs of the hosts: ${cluster.folder}`);
    print(`configuration in force: ${await writeFolder(cluster.folder)}`);
    print(`HTTP address of a host: ${cluster.anyHost().settings.httpAddress}`);
    print("press ctrl-C to end all processes; the connection URL is");
    print(cluster.anyHost().url(DATABASE));
    await new Promise<void>(resolve => {
        process.once("SIGINT", () => resolve());
        process.once("SIGTERM", () => resolve());
    });
}
