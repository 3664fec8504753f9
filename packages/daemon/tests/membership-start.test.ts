import { ConsensusStore } from "@medlarledge/agreement";
import { ConsensusTask, SYSTEM_CLOCK } from "@medlarledge/runtime";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { decideStart, initializeStore, phaseOf } from "../src/membership-start.js";

describe("decideStart", () => {
    // A wiped host that took its old id again could vote twice in one term and so elect a second leader.
    it("joins under a new id as soon as one other host has voted", () => {
        expect(decideStart(["b", "c"], new Map([["b", "established"]]))).toEqual({ kind: "join" });
        expect(decideStart(["b", "c"], new Map([["b", "new"], ["c", "established"]]))).toEqual({ kind: "join" });
    });

    it("founds a group only when all others say that they have never voted", () => {
        expect(decideStart(["b", "c"], new Map([["b", "fresh"]]))).toEqual({ kind: "wait", missing: ["c"] });
        expect(decideStart(["b", "c"], new Map([["b", "fresh"], ["c", "new"]]))).toEqual({ kind: "found" });
    });
});

describe("ConsensusTask", () => {
    // The phase read at the start would stay "new" for as long as the process runs.
    it("knows that the group exists once its own process has voted", async () => {
        const folder = await mkdtemp(join(tmpdir(), "medlarledge-agreement-"));
        const opened = await ConsensusStore.open(folder);
        if (!opened.ok) {
            throw new Error(opened.error.kind);
        }
        await initializeStore(opened.store, { kind: "found" }, { id: "a", incarnation: "1", listed: ["a"] });
        await opened.store.close();
        const again = await ConsensusStore.open(folder);
        if (!again.ok) {
            throw new Error(again.error.kind);
        }
        expect(phaseOf(again.recovered)).toBe("new");
        const task = new ConsensusTask({
            store: again.store,
            recovered: again.recovered,
            agreement: {
                id: "a",
                heartbeatMs: 5,
                electionMs: 20,
                snapshotEvery: 512,
                snapshotEveryBytes: 1024 * 1024,
                maxBatchEntries: 256,
                maxBatchBytes: 64 * 1024,
                snapshotChunkBytes: 1_024,
                seed: 1,
            },
            clock: SYSTEM_CLOCK,
            send: () => undefined,
        });
        expect(task.hasWritten).toBe(false);
        task.start();
        await expect.poll(() => task.hasWritten, { timeout: 5_000 }).toBe(true);
        await task.close();
    });
});
