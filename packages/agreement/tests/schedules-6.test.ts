import { test } from "vitest";
import { runSchedules } from "./schedule.js";

test("no committed entry is lost, changed or reordered in generated schedules, part 6 of 6", () => {
    runSchedules(5);
}, 600_000);
