import { ChangeOutcome, type ConfigurationOffer } from "@medlarledge/protocol";
import type { MeshEvent } from "@medlarledge/runtime";
import { SILENT_LOG } from "@medlarledge/telemetry";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, test } from "vitest";
import { change, connection, newHost, startControlHost, startPeer } from "./linked-hosts.js";

/** A control host and an entry host linked to it, whose received offers are collected. */
async function linkedHosts(others: readonly string[]) {
    const { host, self } = await startControlHost(await mkdtemp(join(tmpdir(), "medlarledge-")), { others });
    const { mesh } = await startPeer(false, SILENT_LOG);
    const offers: ConfigurationOffer[] = [];
    void mesh.events.observe((event: MeshEvent) => {
        if (event.kind === "message" && event.message.kind === "configurationOffer") {
            offers.push(event.message);
        }
    });
    mesh.keepConnected(self.id, self.peerAddress);
    await connection(mesh);
    return { host, offers };
}

// Guards against an entry host that is never told of a change because one message was lost (CONFIG).
test("a control host repeats the number of its configuration to linked entry hosts", async () => {
    const { host, offers } = await linkedHosts([]);
    await expect.poll(async () => (await host.propose(change(1))).outcome).toBe(ChangeOutcome.Accepted);
    offers.length = 0;
    await expect.poll(() => offers.length, { timeout: 3_000 }).toBeGreaterThanOrEqual(2);
    expect(offers.at(-1)).toMatchObject({ number: 1, isCurrent: true });
});

// Guards against a control host without contact to the group that keeps entry hosts from looking for another one (CONFIG).
test("a control host that has no contact to the group confirms nothing", async () => {
    const others = await Promise.all([newHost(true), newHost(true)]);
    const { offers } = await linkedHosts(others.map(({ id }) => id));
    await new Promise(resolve => setTimeout(resolve, 1_500));
    expect(offers.length).toBeLessThanOrEqual(1);
    expect(offers.filter(({ isCurrent }) => isCurrent)).toEqual([]);
});
