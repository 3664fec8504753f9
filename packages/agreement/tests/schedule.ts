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

/** Steps of schedules in which any number of disks are lost, also more than the group can recover from. */
const LOSS_STEPS: readonly Step[] = [
    ...STEPS,
    group => group.loseDisk(),
    group => group.loseDisk(),
    group => group.confirmMembers(),
    group => group.confirmMembers(),
];

/** Time for elections after the faults of a schedule with lost disks, in rounds. */
const ROUNDS_AFTER_LOSSES = 40;

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

/** Runs one schedule in which disks are lost; only safety is checked, since too many losses leave no quorum. */
export function runLossSchedule({ seed, voters, faults, steps }: Schedule): void {
    const group = new Group(seed, voters, faults);
    rounds(12)(group);
    steps.forEach(step => LOSS_STEPS[step]!(group));
    group.repair();
    rounds(ROUNDS_AFTER_LOSSES)(group);
    group.checker.finish();
}

/** Runs one part of the generated schedules. Each part has its own seed. */
export function runSchedules(part: number): void {
    runGenerated(runSchedule, { part, count: COUNT, voters: [3, 5], stepCount: STEPS.length });
}

/** Runs the generated schedules with lost disks, most with an even number of voters. */
export function runLossSchedules(): void {
    runGenerated(runLossSchedule, { part: PARTS, count: COUNT, voters: [2, 3, 4, 4, 6], stepCount: LOSS_STEPS.length });
}

function runGenerated(
    run: (schedule: Schedule) => unknown,
    { part, count, voters, stepCount }: {
        readonly part: number;
        readonly count: number;
        readonly voters: readonly number[];
        readonly stepCount: number;
    },
): void {
    const schedule = fc.record({
        seed: fc.integer({ min: 1, max: 0x7fffffff }),
        voters: fc.constantFrom(...voters),
        faults: fc.record({
            lost: fc.constantFrom(0, 2, 8, 24),
            duplicated: fc.constantFrom(0, 2, 8, 24),
            unsynced: fc.constantFrom(4, 24, 48, 56),
        }),
        steps: fc.array(fc.nat({ max: stepCount - 1 }), { minLength: 10, maxLength: 50, size: "max" }),
    });
    fc.assert(
        fc.property(schedule, value => {
            run(value);
        }),
        { seed: SEED * PARTS + part, numRuns: Math.ceil(count / PARTS), endOnFailure: false },
    );
}
