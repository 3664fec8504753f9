import { test } from "vitest";
import { runLossSchedules } from "./schedule.js";

// Guards against a second leader in a term, and against committed entries that are gone, where half of an even number of
// voters elects and commits because the disk of another voter is known to be lost.
test("no committed entry is lost, changed or reordered in generated schedules with lost disks", () => {
    runLossSchedules();
}, 600_000);
