import { tmpdir } from "node:os";
import { Child } from "../cluster/child.js";
import { LocalCluster } from "../cluster/local-cluster.js";
import { type PhaseResult, runPhase } from "./phase.js";
import { query, RawCaller } from "./raw-caller.js";
import { startRelay } from "./relay.js";

const DATABASE = "orders";
/** Short, so that a change of the machine's other load falls on all targets of a round. */
const PHASE_MS = 500;
const RATE_PER_SECOND = 3_100;
const FILES = [
    { name: "00-number.jsonc", text: `{ "number": 1 }` },
    { name: "10-orders.jsonc", text: `{ "databases": { "orders": { "acknowledge": "primary" } } }` },
    { name: "20-users.jsonc", text: `{ "users": { "quickstart": { "password": "trust" } } }` },
];
const STATEMENTS = {
    read: query("SELECT value FROM orders WHERE key = 'k1'"),
    write: query("UPDATE orders SET value = 'v' WHERE key = 'k1'"),
};

interface Target {
    readonly name: string;
    readonly port: number;
    readonly pid: number;
}

/**
 * Compares hosts of the given folders of programs with each other and with a bare relay, interleaved in one run:
 * `node load.cjs ROUNDS CALLERS FOLDER...`.
 */
async function main(rounds: number, callerCount: number, folders: readonly string[]): Promise<void> {
    const clusters: LocalCluster[] = [];
    const children: Child[] = [];
    try {
        for (const programs of folders) {
            clusters.push(await startCluster(programs));
        }
        const endpoints = clusters[0]?.endpoints(DATABASE) ?? [];
        const ports = endpoints.map(endpoint => String(endpoint.port));
        const relayOf = async (name: string, targets: readonly string[]): Promise<Target> => {
            const child = new Child(
                process.execPath,
                [process.argv[1] ?? "", "relay", ...targets],
                tmpdir() + "/relay.log",
            );
            children.push(child);
            return { name, port: Number(await child.firstLine()), pid: child.pid ?? 0 };
        };
        const hosts = clusters.map(({ hosts: [host] }, index) => ({
            name: folders[index] ?? "",
            port: Number(host?.settings.callerAddress.split(":")[1]),
            pid: host?.pid ?? 0,
        }));
        await measure("read", [...hosts, await relayOf("relay", ports)], rounds, callerCount);
        await measure("write", [...hosts, await relayOf("relay", ports.slice(0, 1))], rounds, callerCount);
    }
    finally {
        await Promise.all(children.map(child => child.kill()));
        await Promise.all(clusters.map(cluster => cluster.stop()));
    }
}

async function startCluster(programs: string): Promise<LocalCluster> {
    const cluster = await LocalCluster.start({
        programs,
        hosts: [{ id: "mechelen-1", dataCentre: "mechelen", control: true }],
        databases: [DATABASE],
        endpointPlaces: ["mechelen", "mechelen", "mechelen"],
        slots: 64,
        connections: 200,
    });
    await cluster.until("the configuration is accepted", async () => {
        const outcome = await cluster.apply(1, FILES);
        return outcome === "accepted" || outcome === "alreadyAccepted";
    });
    await cluster.ready();
    const caller = await RawCaller.connect(Number(cluster.hosts[0]?.settings.callerAddress.split(":")[1]), DATABASE);
    await caller.run(query("CREATE TABLE orders (key text primary key, value text)"));
    await caller.run(query("INSERT INTO orders (key, value) VALUES ('k1', 'v')"));
    caller.close();
    return cluster;
}

async function measure(
    kind: keyof typeof STATEMENTS,
    targets: readonly Target[],
    rounds: number,
    callerCount: number,
): Promise<void> {
    for (let round = 0; round < rounds; round++) {
        for (const rate of [undefined, RATE_PER_SECOND]) {
            for (const target of targets) {
                const result = await onTarget(target, kind, rate, callerCount);
                console.log(JSON.stringify({ kind, rate, target: target.name, round, ...result }));
            }
        }
    }
}

async function onTarget(
    target: Target,
    kind: keyof typeof STATEMENTS,
    rate: number | undefined,
    callerCount: number,
): Promise<PhaseResult> {
    const callers = await Promise.all(
        Array.from({ length: callerCount }, () => RawCaller.connect(target.port, DATABASE)),
    );
    try {
        await runPhase(callers, STATEMENTS[kind], PHASE_MS / 5, target.pid, rate);
        return await runPhase(callers, STATEMENTS[kind], PHASE_MS, target.pid, rate);
    }
    finally {
        callers.forEach(caller => {
            caller.close();
        });
    }
}

const [mode, ...rest] = process.argv.slice(2);
if (mode === "relay") {
    startRelay(rest.map(Number));
}
else {
    void main(Number(mode), Number(rest[0]), rest.slice(1));
}
