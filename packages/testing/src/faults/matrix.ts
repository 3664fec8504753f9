import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Cell } from "./cell.js";
import { type Fault, FAULTS } from "./fault-table.js";
import { type Step, STEPS } from "./steps.js";

/** Time between two faults that are injected together. */
const TOGETHER_MS = 50;

/** Time from the end of a fault to its second occurrence. */
const AGAIN_MS = 300;

/** Every fault at every step. */
export function singleCells(): readonly Cell[] {
    return FAULTS.flatMap(fault => STEPS.map(step => cellOf(step, [fault], [0])));
}

/** A sample of the pairs of faults, together and the same one twice, chosen by the seed. */
export function pairCells(count: number, seed: number): readonly Cell[] {
    const random = xoroshiro128plus(seed);
    const cells = new Map<string, Cell>();
    const possible = FAULTS.length * FAULTS.length * STEPS.length;
    while (cells.size < Math.min(count, possible)) {
        const step = STEPS[uniformInt(random, 0, STEPS.length - 1)];
        const first = FAULTS[uniformInt(random, 0, FAULTS.length - 1)];
        const second = FAULTS[uniformInt(random, 0, FAULTS.length - 1)];
        if (step !== undefined && first !== undefined && second !== undefined) {
            const cell = pairOf(step, first, second);
            cells.set(cell.name, cell);
        }
    }
    return [...cells.values()];
}

/** The cell of a name as it is printed, or undefined when its faults or its step are unknown. */
export function cellNamed(name: string): Cell | undefined {
    const [faultNames = "", stepName = ""] = name.split(" @ ");
    const step = STEPS.find(known => known.name === stepName);
    const faults = faultNames.split(" + ").map(faultName => FAULTS.find(known => known.name === faultName));
    const known = faults.filter(fault => fault !== undefined);
    const [first, second] = known;
    if (step === undefined || first === undefined || known.length !== faults.length) {
        return undefined;
    }
    return second === undefined ? cellOf(step, [first], [0]) : pairOf(step, first, second);
}

function pairOf(step: Step, first: Fault, second: Fault): Cell {
    return cellOf(step, [first, second], [0, first === second ? first.durationMs + AGAIN_MS : TOGETHER_MS]);
}

function cellOf(step: Step, faults: readonly Fault[], offsetsMs: readonly number[]): Cell {
    const name = `${faults.map(fault => fault.name).join(" + ")} @ ${step.name}`;
    return { name, step, faults, offsetsMs };
}
