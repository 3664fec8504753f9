import { describe, expect, test } from "vitest";
import type { RouteStrategy } from "../../src/index.js";
import { type MeasuredStrategy, measureRouting } from "./routing-model.js";

const LAGS_MS = [0, 5, 50, 500];
const WRITE_SHARES = [0.1, 0.5, 0.9];
const STRATEGIES: readonly MeasuredStrategy[] = [
    "primaryOnly",
    "knownPositions",
    "selfProving",
    "combined",
    "complete",
];
const READS = 18_000;
const SEED = 7_001;

describe("routing measurement", () => {
    test("no strategy reads below a floor or beyond a maximum age in 1,000,000 reads", () => {
        const lines: string[] = [];
        let reads = 0;
        let ratioLow = Infinity;
        for (const lagMs of LAGS_MS) {
            for (const writeShare of WRITE_SHARES) {
                const results = STRATEGIES.map(strategy =>
                    measureRouting({ strategy, lagMs, writeShare, reads: READS, seed: SEED })
                );
                const complete = results.at(-1)!;
                const combined = results.at(-2)!;
                for (const [index, result] of results.entries()) {
                    reads += result.reads;
                    expect([result.floorViolations, result.ageViolations]).toEqual([0, 0]);
                    lines.push([
                        lagMs,
                        writeShare,
                        String(STRATEGIES[index]),
                        result.replicaShare.toFixed(3),
                        result.wastedSlots.toFixed(3),
                        result.addedMs.toFixed(2),
                    ].join("\t"));
                }
                const ratio = combined.replicaShare / complete.replicaShare;
                lines.push(`${lagMs}\t${writeShare}\tratio\t${ratio.toFixed(3)}`);
                ratioLow = Math.min(ratioLow, ratio);
            }
        }
        console.log(
            `lag ms\twrites\tstrategy\tshare\twasted\tadded ms\n${lines.join("\n")}\nlowest ${ratioLow.toFixed(3)}`,
        );
        expect(reads).toBeGreaterThanOrEqual(1_000_000);
    });

    test("the measurement detects a strategy that uses replicas without checking their positions", () => {
        const careless: RouteStrategy = ({ replicas, pick }) => {
            const chosen = pick(replicas);
            return chosen && { kind: "send", endpoint: chosen.endpoint.id, proof: "none", floor: undefined };
        };
        const result = measureRouting({ strategy: careless, lagMs: 500, writeShare: 0.5, reads: 2_000, seed: SEED });
        expect(result.floorViolations).toBeGreaterThan(0);
        expect(result.ageViolations).toBeGreaterThan(0);
    });
});
