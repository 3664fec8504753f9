// Writes what a case sent, what was answered and what ran to record.txt in the folder of the case.
import { writeFileSync, appendFileSync } from "node:fs";
import { join } from "node:path";

export class Record {
    #file;
    #startedAt = performance.now();

    constructor(folder) {
        this.#file = join(folder, "record.txt");
        writeFileSync(this.#file, "");
    }

    /** Adds a line with the time since the start in ms. */
    add(who, text) {
        const at = (performance.now() - this.#startedAt).toFixed(0).padStart(6);
        appendFileSync(this.#file, `${at} ${who.padEnd(12)} ${text}\n`);
    }
}
