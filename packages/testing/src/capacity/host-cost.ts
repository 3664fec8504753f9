import { SIGNATURE_HEADER, signBody } from "@medlarledge/daemon";
import { digestOf } from "@medlarledge/settings";
import { LocalCluster } from "../cluster/local-cluster.js";
import type { HostReport } from "../cluster/local-host.js";
import { pause, type Print, printFit, round } from "./measure.js";
import { DATABASE_COUNTS, ENDPOINTS_PER_DATABASE, sampleEndpoint, sampleFolder } from "./sample-data.js";

const WARM_UP_MS = 2_000;
const MEASURED_MS = 3_000;

/** The leader manages the slots of all endpoints; of 550 hosts each one manages about 3.5 of 1,920. */
const FAR_AWAY = { host: "127.0.0.9", dataCentre: "mechelen", connections: 2 };

interface HostPoint {
    readonly databases: number;
    /** Processor seconds a second. */
    readonly cpu: number;
    /** Resident bytes. */
    readonly resident: number;
    readonly leaderCpu: number;
    readonly leaderResident: number;
}

/**
 * Two real host processes, idle, with databases in their configuration: one leads, the other one only serves callers.
 * The endpoints do not exist and allow no connections to entry hosts, as at the target size, where the share is zero.
 */
export async function hostCost(print: Print, programs: string): Promise<void> {
    for (const announced of [false, true]) {
        const points: HostPoint[] = [];
        for (const databases of DATABASE_COUNTS) {
            const measured = await measureHost(programs, databases, announced);
            print({ point: "host process", databases, announced, ...measured });
            points.push({ databases, ...measured });
        }
        const name = announced ? "host process, endpoints unreachable" : "host process, no endpoints";
        const fit = (y: string, value: (point: HostPoint) => number): void =>
            printFit(print, name, "databases", y, points.map(item => ({ x: item.databases, y: value(item) })));
        fit("CPU seconds a second", item => item.cpu);
        fit("resident bytes", item => item.resident);
        fit("CPU seconds a second of the leader", item => item.leaderCpu);
        fit("resident bytes of the leader", item => item.leaderResident);
    }
}

async function measureHost(programs: string, databases: number, announced: boolean) {
    const cluster = await LocalCluster.start({
        programs,
        hosts: [
            { id: "mechelen-1", dataCentre: "mechelen", control: true },
            { id: "antwerp-1", dataCentre: "antwerp", control: false },
        ],
        databases: [],
        endpointPlaces: [],
        slots: 2,
        connections: 16,
        logLevel: "error",
    });
    try {
        const files = sampleFolder(databases);
        const change = { number: 1, digest: digestOf(files), operator: "capacity", files };
        await cluster.until("the configuration is accepted", async () => {
            const { outcome } = await cluster.anyHost().apply(change);
            return outcome === "accepted" || outcome === "alreadyAccepted";
        });
        const [leader, entry] = cluster.hosts;
        if (leader === undefined || entry === undefined) {
            throw new Error("two hosts are needed");
        }
        await cluster.until("the hosts serve", async () => await leader.ready() && await entry.ready());
        if (announced) {
            await announceAll(cluster, databases);
        }
        await pause(WARM_UP_MS);
        const before = await Promise.all([entry.report(), leader.report()]);
        const startedAt = performance.now();
        await pause(MEASURED_MS);
        const after = await Promise.all([entry.report(), leader.report()]);
        const seconds = (performance.now() - startedAt) / 1_000;
        const cpu = (index: 0 | 1): number => round((cpuOf(after[index]) - cpuOf(before[index])) / seconds);
        return {
            cpu: cpu(0),
            resident: after[0].host.memoryBytes,
            leaderCpu: cpu(1),
            leaderResident: after[1].host.memoryBytes,
        };
    }
    finally {
        await cluster.stop();
    }
}

function cpuOf({ host }: HostReport): number {
    return (host.cpuMicroseconds.user + host.cpuMicroseconds.system) / 1_000_000;
}

async function announceAll(cluster: LocalCluster, databases: number): Promise<void> {
    for (let database = 0; database < databases; database++) {
        const calls = Array.from({ length: ENDPOINTS_PER_DATABASE }, (_, index) => {
            // Endpoints at one address with different identities would replace each other.
            const port = 1 + database * ENDPOINTS_PER_DATABASE + index;
            return announce(cluster, {
                ...sampleEndpoint(database, index, true),
                ...FAR_AWAY,
                port,
            });
        });
        await Promise.all(calls);
    }
}

async function announce(cluster: LocalCluster, endpoint: object): Promise<void> {
    const body = JSON.stringify(endpoint);
    const { httpAddress } = cluster.anyHost().settings;
    await fetch(`http://${httpAddress}/v1/endpoints`, {
        method: "POST",
        body,
        headers: { [SIGNATURE_HEADER]: signBody(cluster.announceKey, Buffer.from(body)) },
        signal: AbortSignal.timeout(6_000),
    });
}
