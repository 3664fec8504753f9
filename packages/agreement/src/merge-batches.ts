import type { LogEntry } from "@medlarledge/protocol";
import type { PersistBatch } from "./types.js";

/**
 * Merges successive batches into one with the same result, so that batches that are queued during a sync share the next
 * one (group commit). Batches before and after a `saveSnapshot` must not be merged.
 */
export function mergeBatches(batches: readonly PersistBatch[]): PersistBatch {
    let entries: LogEntry[] = [];
    let truncateFrom: number | undefined;
    for (const batch of batches) {
        const from = batch.truncateFrom;
        if (from !== undefined) {
            entries = entries.filter(entry => entry.index < from);
            truncateFrom = Math.min(from, truncateFrom ?? from);
        }
        entries = entries.concat(batch.entries);
    }
    const hardState = batches.findLast(batch => batch.hardState !== undefined)?.hardState;
    return {
        entries,
        ...hardState === undefined ? {} : { hardState },
        ...truncateFrom === undefined ? {} : { truncateFrom },
    };
}
