import { expect, test } from "vitest";
import { measureOpenings } from "./opening.js";

const CHANGES = [100, 1_000, 10_000];
const SNAPSHOT_EVERY = 512;

// Checks the number of entries only. The times depend on the machine and are printed for information.
test("the number of entries read on opening does not grow with the number of changes", async () => {
    const openings = await measureOpenings(CHANGES, 41);
    const ratio = openings[2]!.milliseconds / openings[0]!.milliseconds;
    console.log(JSON.stringify({ changes: CHANGES, openings, ratio }));
    for (const opening of openings) {
        expect(opening.entries).toBeLessThanOrEqual(SNAPSHOT_EVERY);
    }
});
