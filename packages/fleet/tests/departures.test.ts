import { type EndpointRecord, EndpointRole, EndpointState } from "@medlarledge/protocol";
import type { MeshEvent } from "@medlarledge/runtime";
import { SILENT_LOG } from "@medlarledge/telemetry";
import { mkdir, mkdtemp, readFile, rmdir, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, test } from "vitest";
import type { ConfigurationReader } from "../src/index.js";
import { startControlHost, startPeer } from "./linked-hosts.js";

const RECORD: EndpointRecord = {
    id: "i-1",
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

/** Fails the test that reads a configuration. */
const NO_CONFIGURATIONS: ConfigurationReader = {
    validate: () => [],
    routing: () => expect.fail("there is no configuration"),
};

async function savedRecords(dataFolder: string): Promise<readonly EndpointRecord[]> {
    const text = await readFile(join(dataFolder, "last-known.json"), "utf8");
    return (JSON.parse(text) as { readonly records: readonly EndpointRecord[]; }).records;
}

// Guards against a leaving endpoint that gets work again after all hosts lose power right behind the acknowledgement
// (DRAIN; docs/incidents/departure-lost-with-power.md).
test("a departure is on the disk when it is acknowledged", async () => {
    const dataFolder = await mkdtemp(join(tmpdir(), "medlarledge-"));
    const { host } = await startControlHost(dataFolder, { configurations: NO_CONFIGURATIONS });
    expect(await host.announce(RECORD)).toBe(true);
    expect(await host.announce({ ...RECORD, sequence: 2, state: EndpointState.Leaving })).toBe(true);
    expect(await savedRecords(dataFolder)).toMatchObject([{ id: "i-1", state: EndpointState.Leaving, sequence: 2 }]);
    expect(await host.left("i-1")).toBe(true);
    expect(await savedRecords(dataFolder)).toMatchObject([{ id: "i-1", state: EndpointState.Left }]);
});

// Guards against an acknowledgement by a control host whose disk is full, which forgets the departure at a restart.
test("a departure that cannot be stored is not acknowledged until it is", async () => {
    const dataFolder = await mkdtemp(join(tmpdir(), "medlarledge-"));
    const { host } = await startControlHost(dataFolder, { configurations: NO_CONFIGURATIONS });
    const obstacle = join(dataFolder, "last-known.json.tmp");
    await mkdir(obstacle);
    expect(await host.announce({ ...RECORD, state: EndpointState.Leaving })).toBe(false);
    expect(await host.announce({ ...RECORD, sequence: 2, state: EndpointState.Leaving })).toBe(false);
    await rmdir(obstacle);
    expect(await host.announce({ ...RECORD, sequence: 3, state: EndpointState.Leaving })).toBe(true);
    expect(await savedRecords(dataFolder)).toMatchObject([{ id: "i-1", state: EndpointState.Leaving }]);
});

// Guards against a restart of all control hosts that gives a leaving endpoint its whole time once more.
test("the time for which an endpoint has been leaving goes on while the control host is down", async () => {
    const dataFolder = await mkdtemp(join(tmpdir(), "medlarledge-"));
    const records = [{ ...RECORD, state: EndpointState.Leaving, leavingMs: 1_000 }];
    const savedAt = Date.now() - 5_000;
    await writeFile(join(dataFolder, "last-known.json"), JSON.stringify({ records, orders: [], savedAt }));
    const { self } = await startControlHost(dataFolder, { configurations: NO_CONFIGURATIONS });
    const entry = await startPeer(false, SILENT_LOG);
    const received: EndpointRecord[] = [];
    void entry.mesh.events.observe((event: MeshEvent) => {
        if (event.kind === "message" && event.message.kind === "endpointRecords") {
            received.push(...event.message.records);
        }
    });
    entry.mesh.keepConnected(self.id, self.id);
    await expect.poll(() => received.length, { timeout: 5_000 }).toBe(1);
    expect(received[0]?.leavingMs).toBeGreaterThanOrEqual(6_000);
    expect(received[0]?.leavingMs).toBeLessThan(60_000);
});
