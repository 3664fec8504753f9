import { test } from "vitest";
import { runSchedules } from "./schedule.js";

test("generated schedules lose, change and reorder nothing, part 1 of 6", () => {
    runSchedules(0);
}, 600_000);
