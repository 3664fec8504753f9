import { test } from "vitest";
import { runSchedules } from "./schedule.js";

test("generated schedules lose, change and reorder nothing, part 3 of 6", () => {
    runSchedules(2);
}, 600_000);
