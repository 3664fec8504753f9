import { type ConfigurationChange, type EndpointRecord, EndpointRole, EndpointState } from "@medlarledge/protocol";
import { SYSTEM_CLOCK } from "@medlarledge/runtime";
import type { ConnectResult, EndpointAddress, EndpointConnector } from "@medlarledge/statements";
import { type Log, type LogFields, MetricsPage } from "@medlarledge/telemetry";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, test } from "vitest";
import { type ConfigurationReader, ControlHost, PromotionOutcome } from "../src/index.js";
import { cleanUp, connection, createEntryHost, newHost, startPeer } from "./linked-hosts.js";

const RECORD: EndpointRecord = {
    id: "good",
    group: "orders",
    dataCentre: "ams",
    host: "127.0.0.1",
    port: 5_432,
    slots: 2,
    born: 1,
    sequence: 1,
    state: EndpointState.Active,
    role: EndpointRole.Replica,
};

/** Records as earlier versions stored and distributed them. */
const ODD_RECORDS = [
    { ...RECORD, id: "port", port: 80_800 },
    { ...RECORD, id: "host", host: "10.0.0.999" },
    { ...RECORD, id: "slots", slots: 1e300 },
    { ...RECORD, id: "born", born: Number.MAX_SAFE_INTEGER },
    { ...RECORD, id: "group", group: [[[]]] },
    { id: "fields" },
    null,
    7,
];

const ROUTING = {
    number: 1,
    routes: new Map(),
    groups: new Map([["orders", { connections: 16, syncReplicas: 0 }]]),
    customers: undefined,
    transactionIdleMs: 3_000,
};

/** Reads the files, as a real reader does. */
const CONFIGURATIONS: ConfigurationReader = {
    validate: () => [],
    routing: ({ files }) => ({ ...ROUTING, number: files.filter(({ text }) => text.length > 0).length }),
};
const CHANGE = { number: 1, digest: "d", operator: "o", files: [{ name: "f", text: "{}" }] };

/** Fails like Node's sockets when an address cannot be used: by an exception. */
class StrictConnector implements EndpointConnector {
    readonly tried = new Set<string>();

    connect({ id, host, port }: EndpointAddress): Promise<ConnectResult> {
        this.tried.add(id);
        if (port > 65_535 || host === "10.0.0.999") {
            return Promise.reject(new RangeError(`port ${port}`));
        }
        return Promise.resolve({ ok: false, failure: { kind: "refused", reason: "nobody listens" } });
    }
}

function logOf(refusals: LogFields[]): Log {
    return { event: (name, fields = {}) => name === "announcementRefused" && refusals.push(fields) };
}

// Guards against entry hosts that end again and again because another host sends a record that cannot be used.
test("an entry host leaves out odd records of another host, logs them and uses the others", async () => {
    const refusals: LogFields[] = [];
    const log = logOf(refusals);
    const peer = await startPeer(true, log);
    const connector = new StrictConnector();
    const host = await createEntryHost([peer.self.id], CONFIGURATIONS, { log, connector });
    const connected = connection(peer.mesh);
    expect(await host.start()).toBeUndefined();
    await connected;
    const [{ id } = peer.self] = peer.mesh.connected();
    for (const change of [undefined, 7, { ...CHANGE, files: undefined }, { ...CHANGE, files: [null] }]) {
        peer.mesh.send(id, { kind: "configurationUpdate", change: change as unknown as ConfigurationChange });
    }
    peer.mesh.send(id, { kind: "configurationUpdate", change: CHANGE });
    const records = [...ODD_RECORDS, RECORD] as unknown as readonly EndpointRecord[];
    peer.mesh.send(id, { kind: "endpointRecords", records });
    const entries = [{ id, dataCentre: "ams" }];
    peer.mesh.send(id, { kind: "hostList", term: 1, index: 1, leader: peer.self.id, control: [peer.self.id], entries });
    await expect.poll(() => [...connector.tried], { timeout: 5_000 }).toEqual(["good"]);
    expect(refusals).toEqual([expect.objectContaining({ source: peer.self.id, refused: ODD_RECORDS.length })]);
});

// Guards against control hosts that end at each start because an earlier version stored a record that cannot be used.
test("a control host leaves out odd records of its file and asks the other endpoints", async () => {
    const refusals: LogFields[] = [];
    const log = logOf(refusals);
    const dataFolder = await mkdtemp(join(tmpdir(), "medlarledge-"));
    const stored = { configuration: CHANGE, records: [...ODD_RECORDS, RECORD], orders: [] };
    await writeFile(join(dataFolder, "last-known.json"), JSON.stringify(stored));
    const self = await newHost(true);
    const connector = new StrictConnector();
    const host = new ControlHost({
        self,
        name: "control",
        dataFolder,
        graceMs: 1_000,
        seeds: [self.id],
        initialMembers: [self.id],
        toleratedLosses: 1,
        clock: SYSTEM_CLOCK,
        log,
        meter: new MetricsPage(),
        connector,
        configurations: CONFIGURATIONS,
        authority: { promote: () => Promise.resolve(PromotionOutcome.Unknown) },
        primariesStepDown: true,
        limitAccuracy: undefined,
    });
    expect(await host.start()).toBeUndefined();
    cleanUp(() => host.stop());
    expect(refusals).toEqual([expect.objectContaining({ source: "file", refused: ODD_RECORDS.length })]);
    expect((await host.propose(CHANGE)).outcome).toMatch(/unavailable|accepted/);
    await expect.poll(() => [...connector.tried], { timeout: 8_000 }).toEqual(["good"]);
}, 12_000);
