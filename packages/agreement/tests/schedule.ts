import fc from "fast-check";
import { type Faults, Group } from "./group.js";

const SEED = Number(process.env["AGREEMENT_SEED"] ?? 1);
// 24,000 schedules in six files, above the 20,000 that CI must run.
const COUNT = Number(process.env["AGREEMENT_COUNT"] ?? 24_000);
const PARTS = 6;

type Step = (group: Group) => void;

const rounds = (count: number): Step => group => {
    for (let round = 0; round < count; round += 1) {
        group.round();
    }
};

const STEPS: readonly Step[] = [
    rounds(1),
    rounds(1),
    rounds(2),
    rounds(4),
    rounds(12),
    group => group.deliverOne(),
    group => group.syncSome(),
    group => void group.propose(),
    group => void group.propose(),
    group => void group.propose(),
    group => group.crash(),
    group => group.restart(),
    group => group.restart(),
    group => group.advanceClocks(),
    group => group.campaign(),
    group => group.campaign(),
    group => group.partition(),
    group => group.heal(),
    group => group.changeMembers(),
    group => group.changeMembers(),
];

export interface Schedule {
    readonly seed: number;
    readonly voters: number;
    readonly faults: Faults;
    readonly steps: readonly number[];
}

/** Runs one schedule of steps and faults. Throws on the first violation. */
export function runSchedule({ seed, voters, faults, steps }: Schedule): Group {
    const group = new Group(seed, voters, faults);
    rounds(12)(group);
    steps.forEach(step => STEPS[step]!(group));
    group.finish();
    return group;
}

/** Runs one part of the generated schedules. Each part has its own seed. */
export function runSchedules(part: number): void {
    const schedule = fc.record({
        seed: fc.integer({ min: 1, max: 0x7fffffff }),
        voters: fc.constantFrom(3, 5),
        faults: fc.record({
            lost: fc.constantFrom(0, 2, 8, 24),
            duplicated: fc.constantFrom(0, 2, 8, 24),
            unsynced: fc.constantFrom(4, 24, 48, 56),
        }),
        steps: fc.array(fc.nat({ max: STEPS.length - 1 }), { minLength: 10, maxLength: 50, size: "max" }),
    });
    fc.assert(
        fc.property(schedule, value => {
            runSchedule(value);
        }),
        { seed: SEED * PARTS + part, numRuns: Math.ceil(COUNT / PARTS), endOnFailure: false },
    );
}
