import { expect, test, vi } from "vitest";
import { Schedule } from "./replaced-disks.js";

// The library of event streams keeps the clock that it finds when it is loaded.
vi.hoisted(() => vi.useFakeTimers());

const FIRST_SEED = Number(process.env["MEMBERSHIP_SEED"] ?? 1);
const COUNT = Number(process.env["MEMBERSHIP_COUNT"] ?? 8);
const LOSSES = 6;

// Guards against a change that is gone, and a group that cannot commit any more or lacks a host, after losses that the
// system has to bear. More schedules: MEMBERSHIP_SEED and MEMBERSHIP_COUNT.
test("generated losses of disks, power and hosts lose no acknowledged change and no member", async () => {
    const failures: string[] = [];
    for (let seed = FIRST_SEED; seed < FIRST_SEED + COUNT; seed += 1) {
        await new Schedule(seed).run(LOSSES).catch((error: unknown) => failures.push(`seed ${seed}: ${String(error)}`));
    }
    expect(failures).toEqual([]);
}, 600_000);
