import { Child } from "../cluster/child.js";
import type { LoadOptions, LoadReport } from "./load.js";
import type { BenchContext } from "./measure.js";

/** Runs a load in a process of its own, so that the measuring process does not slow it down. */
export async function loadProcess(context: BenchContext, options: LoadOptions): Promise<LoadReport> {
    const args = [`${context.programs}/bench-load.cjs`, "load", JSON.stringify(options)];
    const child = new Child(process.execPath, args, `${context.programs}/bench-load.log`);
    try {
        const line = await child.firstLine();
        if (line === "") {
            throw new Error("the load ended without a report");
        }
        return JSON.parse(line) as LoadReport;
    }
    finally {
        await child.kill();
    }
}

/** Starts a bare TCP relay as a process of its own. */
export async function relayProcess(
    context: BenchContext,
    targets: readonly number[],
): Promise<{ readonly port: number; readonly child: Child; }> {
    const args = [`${context.programs}/bench-load.cjs`, "relay", JSON.stringify(targets)];
    const child = new Child(process.execPath, args, `${context.programs}/bench-load.log`);
    return { port: Number(await child.firstLine()), child };
}
