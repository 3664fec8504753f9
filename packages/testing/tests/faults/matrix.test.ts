import { describe, expect, it } from "vitest";
import { runCell } from "../../src/faults/cell.js";
import { FAULTS } from "../../src/faults/fault-table.js";
import { cellNamed, pairCells, singleCells } from "../../src/faults/matrix.js";
import { STEPS } from "../../src/faults/steps.js";

const SEED = 1;

/** One cell of each group of steps; `npm run faults` runs all. */
const CELLS = [
    "primary cut off @ request: write run",
    "endpoint closing in an answer @ request: write sent",
    "entry host killed @ transaction: commit received",
    "process paused @ failover: promotion ordered",
    "operators race @ configuration: proposed",
    "control host cut off @ membership: learner added",
    "endpoint leaving @ drain: begun",
    "sync failed @ start: disk recovered",
];

describe("fault matrix", () => {
    const cells = singleCells();

    // Guards against a favourite list: the matrix is the whole product of its two tables.
    it("has every fault at every step once", () => {
        expect(new Set(cells.map(({ name }) => name)).size).toBe(FAULTS.length * STEPS.length);
    });

    // A failure must be found again by its name and seed.
    it("draws the same pairs from the same seed, and finds each by its name", () => {
        expect(pairCells(20, 3).map(({ name }) => cellNamed(name))).toEqual(pairCells(20, 3));
        const names = (seed: number) => pairCells(20, seed).map(({ name }) => name);
        expect(names(3)).toEqual(names(3));
        expect(names(3)).not.toEqual(names(4));
    });

    // A matrix that cannot fail proves nothing: without leases an old primary's answers reach callers.
    it("finds a system that acknowledges without a lease", async () => {
        const cell = cells.find(({ name }) => name === "primary cut off @ request: write run");
        const result = cell && await runCell(cell, SEED, { acknowledge: "primary", withoutLease: true });
        expect(result?.kind === "violated" && result.details.some(detail => detail.startsWith("2 "))).toBe(true);
    });

    it.each(CELLS)("holds: %s", async name => {
        const cell = cells.find(known => known.name === name);
        expect(cell && await runCell(cell, SEED)).toEqual({ kind: "held" });
    });
});
