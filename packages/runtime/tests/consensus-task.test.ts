import { type ConsensusOptions, ConsensusStore } from "@medlarledge/agreement";
import type { Append } from "@medlarledge/protocol";
import { expect, test, vi } from "vitest";
import { MemoryFiles } from "../../agreement/tests/memory-files.js";
import { ConsensusTask, SYSTEM_CLOCK } from "../src/index.js";

const MEMBERS = { voters: ["a", "b", "c"], learners: [] };
/** Member b takes a snapshot after each entry. */
const OPTIONS: ConsensusOptions = {
    id: "b",
    heartbeatMs: 50,
    electionMs: 60_000,
    snapshotEvery: 1,
    snapshotEveryBytes: 1024 * 1024,
    maxBatchEntries: 4,
    maxBatchBytes: 64 * 1024,
    snapshotChunkBytes: 100,
    seed: 1,
};

function append(index: number, commitIndex: number): Append {
    const entries = [{ index, term: 1, payload: new Uint8Array([index]) }];
    const previousTerm = Math.min(index - 1, 1);
    return { kind: "append", term: 1, previousIndex: index - 1, previousTerm, commitIndex, entries, sentAt: 0 };
}

// Guards against a lost acknowledged change: an entry was acknowledged once a snapshot that was taken in the same step
// had been written, although the entry itself had not.
test("a follower that takes a snapshot acknowledges a later entry only when that is durable", async () => {
    const files = new MemoryFiles();
    const created = await ConsensusStore.open("/data", files);
    expect(created.ok && await created.store.initialize("b", MEMBERS)).toBeUndefined();
    const opened = await ConsensusStore.open("/data", files);
    if (!opened.ok) {
        throw new Error("the store cannot be opened");
    }
    const { store, recovered } = opened;
    const persist = store.persist.bind(store);
    let durableIndex = 0;
    store.persist = async batch => {
        await new Promise(resolve => setTimeout(resolve, 20));
        const error = await persist(batch);
        durableIndex = batch.entries.at(-1)?.index ?? durableIndex;
        return error;
    };
    const acknowledged: { readonly matchIndex: number; readonly durableIndex: number; }[] = [];
    const task = new ConsensusTask({
        store,
        recovered,
        agreement: OPTIONS,
        clock: SYSTEM_CLOCK,
        send: ({ message }) => {
            if (message.kind === "appendReply") {
                acknowledged.push({ matchIndex: message.matchIndex, durableIndex });
            }
        },
    });
    void task.reports.observe(report => {
        if (report.kind === "snapshotWanted") {
            task.snapshotTaken(report.index, new Uint8Array());
        }
    });
    task.start();
    task.receive({ kind: "agreement", from: "a", to: "b", message: append(1, 0) });
    await vi.waitFor(() => expect(acknowledged).toHaveLength(1));
    task.receive({ kind: "agreement", from: "a", to: "b", message: append(2, 1) });
    await vi.waitFor(() => expect(acknowledged).toHaveLength(2));
    expect(acknowledged).toEqual([{ matchIndex: 1, durableIndex: 1 }, { matchIndex: 2, durableIndex: 2 }]);
    await task.close();
});
