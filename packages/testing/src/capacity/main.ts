import { dirname } from "node:path";
import { agreementCost } from "./agreement-cost.js";
import { configurationCost, serviceCost, slotCost, viewCost } from "./entry-cost.js";
import { hostCost } from "./host-cost.js";
import { eventCost, leaderCost } from "./leader-cost.js";
import type { Print } from "./measure.js";
import { connectionMemory, messageCost } from "./wire-cost.js";

/** The whole run ends after this time, whatever state it is in. */
const LIMIT_MS = 360_000;

const programs = dirname(process.argv[1] ?? "dist");

const PARTS: Readonly<Record<string, (print: Print) => void | Promise<void>>> = {
    message: messageCost,
    connections: connectionMemory,
    view: viewCost,
    service: serviceCost,
    configuration: configurationCost,
    agreement: agreementCost,
    leader: leaderCost,
    events: eventCost,
    slots: slotCost,
    host: print => hostCost(print, programs),
};

async function run(): Promise<number> {
    const at = process.argv.indexOf("--only");
    const only = at === -1 ? undefined : process.argv[at + 1];
    const chosen = Object.entries(PARTS).filter(([name]) => only === undefined || name === only);
    if (chosen.length === 0) {
        process.stderr.write(`capacity: unknown part; known are ${Object.keys(PARTS).join(", ")}\n`);
        return 2;
    }
    for (const [part, measure] of chosen) {
        await measure(record => process.stdout.write(`${JSON.stringify({ part, ...record })}\n`));
    }
    return 0;
}

setTimeout(() => {
    process.stderr.write("capacity: stopped at the time limit\n");
    process.exit(1);
}, LIMIT_MS).unref();

run().then(
    code => process.exit(code),
    (error: unknown) => {
        process.stderr.write(`capacity: ${error instanceof Error ? error.message : String(error)}\n`);
        process.exit(1);
    },
);
