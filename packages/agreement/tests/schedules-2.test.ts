import { test } from "vitest";
import { runSchedules } from "./schedule.js";

test("no committed entry is lost, changed or reordered in generated schedules, part 2 of 6", () => {
    runSchedules(1);
}, 600_000);
