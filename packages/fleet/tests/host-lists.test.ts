import type { HostList, Message } from "@medlarledge/protocol";
import type { MeshEvent, PeerMesh } from "@medlarledge/runtime";
import { SILENT_LOG } from "@medlarledge/telemetry";
import { expect, test } from "vitest";
import { createEntryHost, newHost, startPeer } from "./linked-hosts.js";

const LIST: Omit<HostList, "index" | "leader" | "control"> = { kind: "hostList", term: 3, entries: undefined };

/** Sends a message on each new link, after a delay. Returns the ids of the hosts that have connected so far. */
function greet(mesh: PeerMesh, message: Message, delayMs: number): readonly string[] {
    const connected: string[] = [];
    void mesh.events.observe((event: MeshEvent) => {
        if (event.kind === "connected") {
            connected.push(event.host.id);
            setTimeout(() => mesh.send(event.host.id, message), delayMs);
        }
    });
    return connected;
}

// Guards against an entry host that gives up the leader for the older list of a member that is behind in the same term
// (CONFIG; docs/incidents/configuration-after-replaced-control-hosts.md).
test("an entry host dials the leader again after a member that is behind has sent an older list", async () => {
    const leader = await startPeer(true, SILENT_LOG);
    const behind = await startPeer(true, SILENT_LOG);
    const gone = (await Promise.all([newHost(true), newHost(true), newHost(true)])).map(host => host.id);
    const links = greet(leader.mesh, { ...LIST, index: 2, leader: leader.self.id, control: [leader.self.id] }, 0);
    greet(behind.mesh, { ...LIST, index: 1, leader: leader.self.id, control: gone }, 200);
    const host = await createEntryHost(
        [leader.self.id, behind.self.id],
        { validate: () => [], routing: () => expect.fail("there is no configuration") },
        { log: SILENT_LOG, connector: { connect: () => Promise.reject(new Error("there are no endpoints")) } },
    );
    expect(await host.start()).toBeUndefined();
    await expect.poll(() => links.length).toBe(1);
    await new Promise(resolve => setTimeout(resolve, 500));
    leader.mesh.disconnect(links[0] ?? "");
    // Before a search for other control hosts would find it among the seeds.
    await expect.poll(() => links.length, { timeout: 700 }).toBe(2);
});
