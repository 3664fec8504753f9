import type { Message } from "@medlarledge/protocol";
import { type MeshEvent, SYSTEM_CLOCK } from "@medlarledge/runtime";
import { SILENT_LOG } from "@medlarledge/telemetry";
import { expect, test } from "vitest";
import { change, configurationLog, CONFIGURATIONS, createEntryHost, startPeer } from "./linked-hosts.js";

/** A control host with a configuration, which it offers and sends. */
async function startLateControl(number: number, offerAfterMs: number, answerAfterMs: number) {
    const { mesh, self } = await startPeer(true, SILENT_LOG);
    let requestCount = 0;
    const sendLater = (to: string, message: Message, delayMs: number) => {
        setTimeout(() => mesh.send(to, message), delayMs);
    };
    void mesh.events.observe((event: MeshEvent) => {
        if (event.kind === "connected") {
            sendLater(event.host.id, { kind: "configurationOffer", number, isCurrent: true }, offerAfterMs);
        }
        else if (event.kind === "message" && event.message.kind === "configurationWanted") {
            requestCount += 1;
            sendLater(event.from.id, { kind: "configurationUpdate", change: change(number) }, answerAfterMs);
        }
    });
    return { id: self.id, requests: () => requestCount };
}

// Guards against an entry host that stays behind for as long as the disk of one control host stalls: it asked the host
// that lags again and again, since it was the first one linked (CONFIG; docs/incidents/configuration-behind-a-stall.md).
test("an entry host takes the configuration from a control host that has it while another one lags", async () => {
    // The newer configuration is offered while the answer of the host that lags is on its way.
    const lagging = await startLateControl(1, 0, 300);
    const current = await startLateControl(2, 150, 1);
    const { log, inForce } = configurationLog();
    const connector = { connect: () => Promise.reject(new Error("there are no endpoints")) };
    const host = await createEntryHost([lagging.id, current.id], CONFIGURATIONS, { log, connector });
    expect(await host.start()).toBeUndefined();
    const startedAt = SYSTEM_CLOCK.now();
    await expect.poll(() => inForce, { timeout: 4_000 }).toContain(2);
    expect(SYSTEM_CLOCK.now() - startedAt).toBeLessThan(3_000);
    expect(lagging.requests()).toBeLessThanOrEqual(2);
});
