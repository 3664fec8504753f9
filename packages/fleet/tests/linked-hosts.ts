import type { Host } from "@medlarledge/protocol";
import { type MeshEvent, PeerMesh, SYSTEM_CLOCK } from "@medlarledge/runtime";
import type { EndpointConnector } from "@medlarledge/statements";
import { type Log, MetricsPage } from "@medlarledge/telemetry";
import { afterEach, expect } from "vitest";
import { freePort } from "../../runtime/tests/free-port.js";
import { type ConfigurationReader, EntryHost } from "../src/index.js";

const cleanUps: (() => Promise<void>)[] = [];

afterEach(async () => {
    await Promise.all(cleanUps.splice(0).map(end => end()));
});

/** Calls a function after the test. */
export function cleanUp(end: () => Promise<void>): void {
    cleanUps.push(end);
}

export async function newHost(control: boolean): Promise<Host> {
    const peerAddress = `127.0.0.1:${await freePort()}`;
    return {
        id: peerAddress,
        incarnation: "1",
        dataCentre: "ams",
        peerAddress,
        httpAddress: "",
        callerAddress: "",
        control,
    };
}

/** Another host, whose messages the test writes. */
export async function startPeer(control: boolean, log: Log): Promise<{ mesh: PeerMesh; self: Host; }> {
    const self = await newHost(control);
    const mesh = new PeerMesh({ self, identity: undefined, clock: SYSTEM_CLOCK, log });
    expect(await mesh.listen()).toBeUndefined();
    cleanUp(() => mesh.close());
    return { mesh, self };
}

export function connection(mesh: PeerMesh): Promise<void> {
    return new Promise(resolve => {
        void mesh.events.observe((event: MeshEvent) => event.kind === "connected" && resolve());
    });
}

/** An entry host that is not started; it is stopped after the test. */
export async function createEntryHost(
    seeds: readonly string[],
    configurations: ConfigurationReader,
    { log, connector }: { readonly log: Log; readonly connector: EndpointConnector; },
): Promise<EntryHost> {
    const host = new EntryHost({
        self: await newHost(false),
        seeds,
        clock: SYSTEM_CLOCK,
        log,
        connector,
        configurations,
        random: () => 0.5,
        meter: new MetricsPage(),
        graceMs: 10,
        primariesStepDown: true,
        revocationMs: undefined,
        usesLoadReports: false,
        drainMs: undefined,
        limitAccuracy: undefined,
    });
    cleanUp(() => host.stop());
    return host;
}
