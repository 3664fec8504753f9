import { test } from "vitest";
import { runSchedules } from "./schedule.js";

test("no committed entry is lost, changed or reordered in generated schedules, part 1 of 6", () => {
    runSchedules(0);
}, 600_000);
