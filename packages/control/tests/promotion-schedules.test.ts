import { expect, test } from "vitest";
import { PromotionSchedule } from "./promotion-schedules.js";

const FIRST_SEED = Number(process.env["PROMOTION_SEED"] ?? 1);
const COUNT = Number(process.env["PROMOTION_COUNT"] ?? 60);
const DURATION_MS = 40_000;

// Guards against acknowledged commits that are lost by an order which is carried out late, by a departed replica that
// does not count, or by a leader that knows nothing of earlier orders (LOST). More schedules: PROMOTION_SEED and
// PROMOTION_COUNT.
test("generated faults lose no acknowledged commit, and the group has a primary in the end", () => {
    const failures: string[] = [];
    for (let seed = FIRST_SEED; seed < FIRST_SEED + COUNT; seed += 1) {
        const schedule = new PromotionSchedule(seed);
        schedule.run(DURATION_MS);
        failures.push(...schedule.lost.map(text => `seed ${seed}: ${text}`));
        if (schedule.primary?.isUp !== true) {
            failures.push(`seed ${seed}: no primary in the end`);
        }
        expect(schedule.commits).toBeGreaterThan(100);
    }
    expect(failures).toEqual([]);
}, 3_600_000);
