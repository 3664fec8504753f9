import type { Host, HostPlacement, Message } from "@medlarledge/protocol";
import { SILENT_LOG } from "@medlarledge/telemetry";
import { expect, test } from "vitest";
import { cleanUp, configurationLog, CONFIGURATIONS, createEntryHost, newHost, startControl } from "./linked-hosts.js";

const connector = { connect: () => Promise.reject(new Error("there are no endpoints")) };

function hostList(
    index: number,
    leader: string,
    control: readonly string[],
    entries: readonly HostPlacement[] = [],
): Message {
    return { kind: "hostList", term: 3, index, leader, control, entries };
}

/**
 * An entry host that has configuration 1 from a control host that is gone, and a list of control hosts that are gone too.
 */
async function createHostWithoutControl(seeds: readonly string[], entries: readonly HostPlacement[] = []) {
    const gone = (await Promise.all([newHost(true), newHost(true), newHost(true)])).map(host => host.id);
    const former = await startControl(1, {
        greeting: ({ id }) => [
            hostList(1, id, gone, entries),
            { kind: "configurationOffer", number: 1, isCurrent: true },
        ],
    });
    const { log, inForce } = configurationLog();
    const host = await createEntryHost([former.self.id, ...seeds], CONFIGURATIONS, { log, connector });
    expect(await host.start()).toBeUndefined();
    await expect.poll(() => inForce).toEqual([1]);
    await former.mesh.close();
    return { host, inForce };
}

/** Starts the control host that has configuration 2 and confirms it to the hosts linked to it. */
async function startSuccessor(self?: Host): Promise<Host> {
    const offer = { kind: "configurationOffer", number: 2, isCurrent: true } as const;
    const greeting = ({ id }: Host): readonly Message[] => [hostList(2, id, [id]), offer];
    const { mesh, self: host } = await startControl(2, { ...self === undefined ? {} : { self }, greeting });
    const timer = setInterval(() => mesh.connected().forEach(({ id }) => mesh.send(id, offer)), 500);
    cleanUp(async () => clearInterval(timer));
    return host;
}

// Guards against an entry host that dials only control hosts that are gone, and serves its old configuration for ever
// (CONFIG; docs/incidents/configuration-after-replaced-control-hosts.md).
test("an entry host whose listed control hosts are all gone takes the newer configuration from a seed", async () => {
    const successor = await newHost(true);
    const { inForce } = await createHostWithoutControl([successor.id]);
    await startSuccessor(successor);
    await expect.poll(() => inForce, { timeout: 3_000 }).toEqual([1, 2]);
});

// Guards against settings whose new seeds are not asked while an old list of hosts is known (CONFIG).
test("an entry host whose listed control hosts are all gone asks the seeds of changed settings", async () => {
    const { host, inForce } = await createHostWithoutControl([]);
    const { id } = await startSuccessor();
    host.setSeeds([id]);
    await expect.poll(() => inForce, { timeout: 3_000 }).toEqual([1, 2]);
});

// Guards against an entry host all of whose control hosts and seeds are gone, as after a long freeze (CONFIG).
test("an entry host whose control hosts and seeds are all gone learns of others from an entry host", async () => {
    const { id: seed } = await startSuccessor();
    const self = await newHost(false);
    const neighbour = await createEntryHost([seed], CONFIGURATIONS, { log: SILENT_LOG, connector, self });
    expect(await neighbour.start()).toBeUndefined();
    const { inForce } = await createHostWithoutControl([], [{ id: self.id, dataCentre: self.dataCentre }]);
    await expect.poll(() => inForce, { timeout: 4_000 }).toEqual([1, 2]);
});

// Guards against an entry host that is linked only to a control host that is behind, and counts on it (CONFIG).
test("an entry host looks for another control host while the linked one does not say that it is current", async () => {
    const successor = await newHost(true);
    const behind = await startControl(1, {
        greeting: ({ id }) => [hostList(2, id, [id]), { kind: "configurationOffer", number: 1, isCurrent: false }],
    });
    const offer = { kind: "configurationOffer", number: 1, isCurrent: false } as const;
    const timer = setInterval(() => behind.mesh.connected().forEach(({ id }) => behind.mesh.send(id, offer)), 500);
    cleanUp(async () => clearInterval(timer));
    const { log, inForce } = configurationLog();
    const host = await createEntryHost([behind.self.id], CONFIGURATIONS, { log, connector });
    expect(await host.start()).toBeUndefined();
    await expect.poll(() => inForce).toEqual([1]);
    host.setSeeds([successor.id]);
    await startSuccessor(successor);
    await expect.poll(() => inForce, { timeout: 3_000 }).toEqual([1, 2]);
});
