import { test } from "vitest";
import { runSchedules } from "./schedule.js";

test("generated schedules lose, change and reorder nothing, part 6 of 6", () => {
    runSchedules(5);
}, 600_000);
