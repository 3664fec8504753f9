import { type ControlMessage, encodeMessage } from "@medlarledge/protocol";
import { digestOf } from "@medlarledge/settings";
import { LeaderRig } from "./leader-rig.js";
import { cpuSeconds, type Print, printFit, round, usedBytes } from "./measure.js";
import {
    DATABASE_COUNTS,
    databaseName,
    HOST_COUNTS,
    sampleEndpoint,
    sampleFolder,
    sampleHost,
    TARGET_DATABASES,
    TARGET_HOSTS,
} from "./sample-data.js";

const WARM_UP_MS = 1_500;
const SIMULATED_MS = 2_000;

/** The leader's decisions in processor time per simulated second, and the memory of its state. */
export function leaderCost(print: Print): void {
    const byHosts = HOST_COUNTS.map(hosts => point(print, hosts, TARGET_DATABASES, hosts));
    const byDatabases = DATABASE_COUNTS.map(databases => point(print, TARGET_HOSTS, databases, databases));
    const few = DATABASE_COUNTS.map(databases => point(print, HOST_COUNTS[0], databases, databases));
    for (
        const [name, x, points] of [
            ["leader, 640 databases", "hosts", byHosts],
            ["leader, 550 hosts", "databases", byDatabases],
            ["leader, 7 hosts", "databases", few],
        ] as const
    ) {
        printFit(print, name, x, "CPU seconds a second", points.map(({ at, cpu }) => ({ x: at, y: cpu })));
        printFit(print, name, x, "heap bytes", points.map(({ at, heap }) => ({ x: at, y: heap })));
    }
}

function point(print: Print, hosts: number, databases: number, at: number) {
    const before = usedBytes();
    const rig = new LeaderRig(hosts, databases);
    rig.elect();
    rig.run(WARM_UP_MS);
    const traffic = new Traffic();
    rig.readingsAsked = 0;
    const cpuBefore = cpuSeconds();
    rig.run(SIMULATED_MS);
    const cpu = (cpuSeconds() - cpuBefore) / (SIMULATED_MS / 1_000);
    const readings = rig.readingsAsked / (SIMULATED_MS / 1_000);
    const heap = usedBytes() - before;
    traffic.listen(rig);
    rig.run(1_000);
    print({ point: "leader", hosts, databases, cpu: round(cpu), heap, readings, ...traffic.summary() });
    return { at, cpu, heap };
}

/** Counts messages and encoded bytes by kind, at the leader. */
class Traffic {
    readonly #sums = new Map<string, { messages: number; bytes: number; }>();
    readonly #sizes = new WeakMap<ControlMessage, number>();

    listen(rig: LeaderRig): void {
        rig.sent = message => this.#add(`out ${message.kind}`, message);
        rig.received = message => this.#add(`in ${message.kind}`, message);
    }

    summary(): Readonly<Record<string, unknown>> {
        return { traffic: Object.fromEntries(this.#sums) };
    }

    #add(key: string, message: ControlMessage): void {
        const known = this.#sums.get(key) ?? { messages: 0, bytes: 0 };
        const size = this.#sizes.get(message) ?? encodeMessage(message).byteLength;
        this.#sizes.set(message, size);
        this.#sums.set(key, { messages: known.messages + 1, bytes: known.bytes + size });
    }
}

interface Scenario {
    readonly milliseconds: number;
    readonly run: (rig: LeaderRig, databases: number) => void;
}

const SCENARIOS: Readonly<Record<string, Scenario>> = {
    "nothing happens": { milliseconds: 1_000, run: () => undefined },
    "a host restarts": {
        milliseconds: 2_000,
        run: rig => {
            rig.disconnect(sampleHost(6).id);
            rig.run(600);
            rig.connect(sampleHost(6, 1));
        },
    },
    "an endpoint changes": {
        milliseconds: 1_000,
        run: rig => {
            const endpoint = { ...sampleEndpoint(1, 1), sequence: 2, slots: 3 };
            rig.event({ kind: "request", requestId: 1, name: "announce", body: endpoint });
        },
    },
    "the configuration changes": {
        milliseconds: 1_000,
        run: (rig, databases) => {
            const files = sampleFolder(databases);
            const body = { number: 1, digest: digestOf(files), operator: "capacity", files };
            rig.event({ kind: "request", requestId: 1, name: "apply", body });
        },
    },
    "a primary fails": {
        milliseconds: 3_000,
        run: rig => {
            const primary = sampleEndpoint(1, 0);
            rig.suspect = primary.id;
            for (const id of [...rig.hosts.keys()].slice(0, 20)) {
                rig.observe(id, databaseName(1), primary.id, 1);
            }
        },
    },
    "the leader changes": {
        milliseconds: 1_000,
        run: rig => {
            rig.event({ kind: "deposed" });
            rig.elect();
        },
    },
    "a data centre is lost": {
        milliseconds: 5_000,
        run: rig => {
            const lost = [...rig.hosts.values()].filter(({ host }) => host.dataCentre === sampleHost(3).dataCentre);
            lost.forEach(({ host }) => rig.disconnect(host.id));
        },
    },
};

/** What each event costs the leader: messages, bytes and processor time beyond those of a quiet time. */
export function eventCost(print: Print): void {
    for (const hosts of [HOST_COUNTS[1], HOST_COUNTS[3], TARGET_HOSTS]) {
        for (const [event, scenario] of Object.entries(SCENARIOS)) {
            const rig = new LeaderRig(hosts, TARGET_DATABASES);
            rig.elect();
            rig.run(WARM_UP_MS);
            const traffic = new Traffic();
            traffic.listen(rig);
            const startedAt = rig.now;
            const cpuBefore = cpuSeconds();
            scenario.run(rig, TARGET_DATABASES);
            rig.run(scenario.milliseconds - (rig.now - startedAt));
            const cpu = round(cpuSeconds() - cpuBefore);
            print({ event, hosts, milliseconds: scenario.milliseconds, cpu, ...traffic.summary() });
        }
    }
}
