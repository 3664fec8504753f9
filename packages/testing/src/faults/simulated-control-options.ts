import type { ControlLeader } from "@medlarledge/control";
import { formatFinding, mergeFolder } from "@medlarledge/settings";
import type { SimulatedHost } from "./simulated-host.js";
import type { World } from "./world.js";

/** Times of the daemon; snapshots are more frequent, so that a short run takes some. */
export const AGREEMENT = {
    heartbeatMs: 50,
    electionMs: 300,
    snapshotEvery: 64,
    snapshotEveryBytes: 1024 * 1024,
    maxBatchEntries: 256,
    maxBatchBytes: 64 * 1024,
    snapshotChunkBytes: 4096,
};
export const READING_MS = 150;
export const PROMOTE_MS = 2_000;

/** Options of the leader as the daemon sets them. */
export function leaderOptions(host: SimulatedHost, world: World): ConstructorParameters<typeof ControlLeader>[1] {
    return {
        hostId: host.id,
        leaseMs: 400,
        driftMarginMs: 20,
        stepDownMs: AGREEMENT.electionMs,
        confirmMs: 150,
        promoteTimeoutMs: PROMOTE_MS,
        readingTimeoutMs: READING_MS,
        surveyMs: 1_000,
        validate: files => {
            const merged = mergeFolder(files);
            return merged.ok ? [] : merged.findings.map(formatFinding);
        },
        durability: () => world.conditions.acknowledge,
    };
}
