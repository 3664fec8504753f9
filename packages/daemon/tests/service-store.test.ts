import type { Host, ServiceCounts } from "@medlarledge/protocol";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { ServiceReporter } from "../src/service-reporter.js";
import { ServiceStore } from "../src/service-store.js";

const NOW = 1_000_000_000;
const host: Host = {
    id: "a1",
    incarnation: "1",
    dataCentre: "mechelen",
    peerAddress: "",
    httpAddress: "",
    callerAddress: "",
    control: false,
};

describe("service counts", () => {
    // Guards against a control host that does not start because a power loss cut the file short.
    it.each(["", '{"history":', "null", '{"history":7,"sequences":null}'])(
        "start anew after a file with %j",
        async text => {
            const folder = await mkdtemp(join(tmpdir(), "medlarledge-counts-"));
            await writeFile(join(folder, "service-counts.json"), text);
            const store = new ServiceStore(folder);
            expect(await store.restore()).toContain("service-counts.json");
            expect(store.history.sum("orders", 300_000, NOW).requests).toBe(0);
        },
    );

    it("are counted once although batches are sent again, and survive a restart of either side", async () => {
        const folder = await mkdtemp(join(tmpdir(), "medlarledge-counts-"));
        const store = new ServiceStore(folder);
        const sent: ServiceCounts[] = [];
        const reporter = new ServiceReporter(["c1"], (_to, message) => sent.push(message as ServiceCounts) > 0);
        reporter.add("orders", { requests: 3, worth: 5 });
        reporter.flush(NOW);
        reporter.flush(NOW);
        expect(sent).toHaveLength(2);
        sent.forEach(batch => store.receive(host, batch));
        await store.save(NOW);
        const restarted = new ServiceStore(folder);
        await restarted.restore();
        sent.forEach(batch => restarted.receive(host, batch));
        expect(restarted.history.sum("orders", 300_000, NOW)).toMatchObject({ requests: 3, worth: 5 });
        const [first] = sent;
        restarted.receive({ ...host, incarnation: "2" }, first!);
        expect(restarted.history.sum("orders", 300_000, NOW).requests).toBe(6);
    });

    it("of a wrong form are neither counted nor acknowledged", () => {
        const store = new ServiceStore("unused");
        const batch: ServiceCounts = {
            kind: "serviceCounts",
            sequence: 1,
            at: NOW,
            counts: { orders: { requests: "x" } },
        };
        expect(store.receive(host, batch)).toBe(false);
        expect(store.history.databases()).toEqual([]);
    });

    it("wait for a control host that does not acknowledge and reach it later", () => {
        const received: number[] = [];
        let reachable = false;
        const reporter = new ServiceReporter(["c1"], (_to, message) => {
            if (reachable && message.kind === "serviceCounts") {
                received.push(message.sequence);
            }
            return reachable;
        });
        for (let batch = 0; batch < 3; batch++) {
            reporter.add("orders", { requests: 1 });
            reporter.flush(NOW);
        }
        reachable = true;
        reporter.flush(NOW);
        expect(received).toEqual([1, 2, 3]);
        reporter.acknowledged("c1", 3);
        reporter.flush(NOW);
        expect(received).toEqual([1, 2, 3]);
    });
});
