import type { ConfigurationChange, Host, Message } from "@medlarledge/protocol";
import { type MeshEvent, PeerMesh, SYSTEM_CLOCK } from "@medlarledge/runtime";
import type { EndpointConnector } from "@medlarledge/statements";
import { type Log, MetricsPage, SILENT_LOG } from "@medlarledge/telemetry";
import { afterEach, expect } from "vitest";
import { freePort } from "../../runtime/tests/free-port.js";
import { type ConfigurationReader, ControlHost, EntryHost, PromotionOutcome } from "../src/index.js";

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

/** Reads configurations without routes. */
export const CONFIGURATIONS: ConfigurationReader = {
    validate: () => [],
    routing: ({ number }) => ({
        number,
        routes: new Map(),
        groups: new Map(),
        customers: undefined,
        transactionIdleMs: 3_000,
    }),
};

/** A configuration of which only the number matters. */
export function change(number: number): ConfigurationChange {
    return { number, digest: `d${number}`, operator: "o", files: [] };
}

/** A control host that sends `greeting` on each new link, and the configuration with this number to those who ask. */
export async function startControl(
    number: number,
    { self, greeting }: { readonly self?: Host; readonly greeting: (self: Host) => readonly Message[]; },
): Promise<{ mesh: PeerMesh; self: Host; }> {
    const peer = await startPeer(true, SILENT_LOG, self);
    void peer.mesh.events.observe((event: MeshEvent) => {
        if (event.kind === "connected") {
            greeting(peer.self).forEach(message => peer.mesh.send(event.host.id, message));
        }
        else if (event.kind === "message" && event.message.kind === "configurationWanted") {
            peer.mesh.send(event.from.id, { kind: "configurationUpdate", change: change(number) });
        }
    });
    return peer;
}

/** A log that keeps the numbers of the configurations that came into force. */
export function configurationLog(): { readonly log: Log; readonly inForce: readonly unknown[]; } {
    const inForce: unknown[] = [];
    const event: Log["event"] = (name, fields) => {
        if (name === "configurationInForce") {
            inForce.push(fields?.["number"]);
        }
    };
    return { log: { event }, inForce };
}

/** Another host, whose messages the test writes. */
export async function startPeer(
    control: boolean,
    log: Log,
    host?: Host,
): Promise<{ mesh: PeerMesh; self: Host; }> {
    const self = host ?? await newHost(control);
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

/** A control host that is started; it is stopped after the test. */
export async function startControlHost(
    dataFolder: string,
    { others = [], configurations = CONFIGURATIONS }: {
        readonly others?: readonly string[];
        readonly configurations?: ConfigurationReader;
    } = {},
) {
    const self = await newHost(true);
    const host = new ControlHost({
        self,
        name: "control",
        dataFolder,
        graceMs: 1_000,
        seeds: [self.id],
        initialMembers: [self.id, ...others],
        toleratedLosses: 1,
        clock: SYSTEM_CLOCK,
        log: SILENT_LOG,
        meter: new MetricsPage(),
        connector: { connect: () => Promise.resolve({ ok: false, failure: { kind: "refused", reason: "" } }) },
        configurations,
        authority: { promote: () => Promise.resolve(PromotionOutcome.Unknown) },
        primariesStepDown: true,
        limitAccuracy: undefined,
    });
    expect(await host.start()).toBeUndefined();
    cleanUp(() => host.stop());
    return { host, self };
}

/** An entry host that is not started; it is stopped after the test. */
export async function createEntryHost(
    seeds: readonly string[],
    configurations: ConfigurationReader,
    { log, connector, self }: { readonly log: Log; readonly connector: EndpointConnector; readonly self?: Host; },
): Promise<EntryHost> {
    const host = new EntryHost({
        self: self ?? await newHost(false),
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
