import { test } from "vitest";
import { runSchedules } from "./schedule.js";

test("generated schedules lose, change and reorder nothing, part 2 of 6", () => {
    runSchedules(1);
}, 600_000);
