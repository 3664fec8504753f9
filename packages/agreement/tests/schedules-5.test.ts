import { test } from "vitest";
import { runSchedules } from "./schedule.js";

test("generated schedules lose, change and reorder nothing, part 5 of 6", () => {
    runSchedules(4);
}, 600_000);
