import { MemoryFiles } from "../../../agreement/tests/memory-files.js";

/** A host's disk: files that forget on a crash what was not synced, and faults of the hardware. */
export class SimulatedDisk {
    files = new MemoryFiles();
    /** Duration of a write with its sync, in ms. */
    syncMs = 1;

    /** Makes every further operation of a kind fail. */
    break(operation: "write" | "sync", code: string): void {
        this.files.fault = done => {
            if (done === operation) {
                throw Object.assign(new Error(code), { code });
            }
        };
    }

    heal(): void {
        this.files.fault = () => undefined;
        this.syncMs = 1;
    }

    wipe(): void {
        this.files = new MemoryFiles();
    }
}
