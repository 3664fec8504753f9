import { ControlState } from "@medlarledge/control";
import { SlotTask, ViewTable } from "@medlarledge/daemon";
import { encodeMessage } from "@medlarledge/protocol";
import { ClassMatcher, mergeFolder } from "@medlarledge/settings";
import { EMPTY_COUNT, type ServiceCount } from "@medlarledge/telemetry";
import { cpuSeconds, leastCpu, pause, type Print, printFit, round, usedBytes } from "./measure.js";
import {
    DATABASE_COUNTS,
    databaseName,
    HOST_COUNTS,
    sampleCommands,
    sampleFolder,
    sampleHost,
    TARGET_DATABASES,
    TARGET_HOSTS,
} from "./sample-data.js";

const SLOT_RUN_MS = 1_000;
const SLOT_WARM_UP_MS = 300;

/** What an entry host with 3,100 statements a second over 640 databases counts for one of them in 10 s. */
const SERVED: ServiceCount = {
    ...EMPTY_COUNT,
    requests: 48,
    worth: 48,
    worthInTime: 48,
    reads: 32,
    replicaReads: 30,
    freshReads: 32,
};

/** The view of an entry host: bytes of a whole one, memory. */
export function viewCost(print: Print): void {
    const bytes = DATABASE_COUNTS.map(databases => ({ x: databases, y: wholeView(0, databases).byteLength }));
    printFit(print, "whole view without hosts", "databases", "bytes", bytes);
    const hosts = HOST_COUNTS.map(count => ({ x: count, y: wholeView(count, 0).byteLength }));
    printFit(print, "list of hosts", "hosts", "bytes", hosts);
    const heap = DATABASE_COUNTS.map(databases => {
        const before = usedBytes();
        const view = sampleView(TARGET_HOSTS, databases);
        return { x: databases, y: usedBytes() - before + 0 * view.version };
    });
    printFit(print, "view and state, 550 hosts", "databases", "heap bytes", heap);
}

/** The counts that an entry host sends to each control host every 10 s when it served every database. */
export function serviceCost(print: Print): void {
    const points = DATABASE_COUNTS.map(databases => {
        const counts = Object.fromEntries(
            Array.from({ length: databases }, (_, index) => [databaseName(index), SERVED]),
        );
        const bytes =
            encodeMessage({ kind: "serviceCounts", sequence: 8_640, at: 1_780_000_000_000, counts }).byteLength;
        return { x: databases, y: bytes };
    });
    printFit(print, "service counts", "databases", "bytes a batch", points);
}

function sampleState(hosts: number, databases: number): ControlState {
    const state = new ControlState();
    for (const command of sampleCommands(hosts, databases)) {
        state.apply(command);
    }
    return state;
}

function viewMessage(hosts: number, databases: number) {
    const state = sampleState(hosts, databases);
    const version = state.version();
    return { kind: "viewUpdate", version, complete: true, ...state.changesSince(0) } as const;
}

function wholeView(hosts: number, databases: number): Uint8Array {
    return encodeMessage(viewMessage(hosts, databases));
}

function sampleView(hosts: number, databases: number): ViewTable {
    const view = new ViewTable();
    view.apply(viewMessage(hosts, databases));
    return view;
}

/** The slot task of an idle entry host: it ticks every 10 ms over all endpoints. Runs in real time. */
export async function slotCost(print: Print): Promise<void> {
    const byDatabases = [];
    for (const databases of DATABASE_COUNTS) {
        byDatabases.push({ x: databases, y: await slotPoint(print, TARGET_HOSTS, databases) });
    }
    printFit(print, "slot ticks, 550 hosts", "databases", "CPU seconds a second", byDatabases);
    const byHosts = [];
    for (const hosts of HOST_COUNTS) {
        byHosts.push({ x: hosts, y: await slotPoint(print, hosts, TARGET_DATABASES) });
    }
    printFit(print, "slot ticks, 640 databases", "hosts", "CPU seconds a second", byHosts);
}

async function slotPoint(print: Print, hosts: number, databases: number): Promise<number> {
    const now = (): number => performance.now();
    const task = new SlotTask({
        hostId: sampleHost(1).id,
        view: sampleView(hosts, databases),
        clock: { now, wallClock: Date.now },
        lastLeaseAt: now,
        send: () => true,
        connect: () => undefined,
        changed: () => undefined,
    });
    const empty = await cpuOf(() => undefined);
    const cpu = await cpuOf(() => task.start()) - empty;
    task.stop();
    await pause(50);
    print({ point: "slots", hosts, databases, cpu: round(cpu) });
    return cpu;
}

/** Processor time a wall-clock second; a tick that takes longer than its interval shows as a value near 1. */
async function cpuOf(start: () => void): Promise<number> {
    start();
    await pause(SLOT_WARM_UP_MS);
    const cpuBefore = cpuSeconds();
    const startedAt = performance.now();
    await pause(SLOT_RUN_MS);
    return (cpuSeconds() - cpuBefore) * 1_000 / (performance.now() - startedAt);
}

/** A configuration change: its size and the time to put it in force on one host. */
export function configurationCost(print: Print): void {
    const points = DATABASE_COUNTS.map(databases => {
        const files = sampleFolder(databases);
        const change = { number: 1, digest: "0".repeat(64), operator: "capacity", files };
        const bytes = encodeMessage({ kind: "configurationUpdate", change }).byteLength;
        const cpu = leastCpu(5, () => {
            const merged = mergeFolder(files);
            if (merged.ok) {
                new ClassMatcher(merged.configuration);
            }
        });
        return { databases, bytes, cpu };
    });
    printFit(print, "configuration", "databases", "bytes", points.map(item => ({ x: item.databases, y: item.bytes })));
    printFit(
        print,
        "configuration applied",
        "databases",
        "CPU seconds",
        points.map(item => ({ x: item.databases, y: item.cpu })),
    );
}
