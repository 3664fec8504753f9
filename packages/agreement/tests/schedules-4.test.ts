import { test } from "vitest";
import { runSchedules } from "./schedule.js";

test("generated schedules lose, change and reorder nothing, part 4 of 6", () => {
    runSchedules(3);
}, 600_000);
