import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { configurationOf, Operator } from "../stand-ins-2/operator.mjs";
import { Record, sleep, System } from "../stand-ins-2/system.mjs";

const HERE = dirname(fileURLToPath(import.meta.url));
const TROUBLE = process.env.TROUBLE !== "0";
/** Parts of the disruption, to run each alone: REPLACE=0 or WIPE=0 leaves one out. */
const REPLACE = TROUBLE && process.env.REPLACE !== "0";
const WIPE = TROUBLE && process.env.WIPE !== "0";
/** From the old machine's end to the loss of another one's disk. */
const GAP_MS = Number(process.env.GAP_MS ?? 500);

const record = new Record(HERE);
const system = await System.create(record);
let exitCode = 2;
try {
    const names = ["core-1", "core-2", "core-3"];
    names.forEach((name, index) => system.add(name, "control", index));
    system.seeds = names.map(name => `${system.machines.get(name).ip}:8782`);
    names.forEach(name => system.start(name, true));
    let listed = names;
    const operator = new Operator(() => listed.map(name => `${system.machines.get(name).ip}:8782`), record);
    const services = ["huvo11a", "kafi81c", "wuno96b"];
    const configuration = version => configurationOf(version, { services, routes: [], count: 12 });
    await sleep(1_500);
    for (const version of [2, 5, 7]) {
        if (!await operator.replace(configuration(version), 5_000)) {
            throw new Error("a change in calm times was not acknowledged");
        }
    }
    if (REPLACE) {
        record.write("planned replacement: the new machine starts first, empty and at another address");
        system.add("core-4", "control", 3, "utr");
        system.start("core-4", false);
        listed = [...names, "core-4"];
    }
    await sleep(10_000);
    if (!await operator.replace(configuration(9), 5_000)) {
        throw new Error("a change in calm times was not acknowledged");
    }
    if (REPLACE) {
        record.write("10 s later: SIGTERM to the old machine, which is gone for good");
        await system.terminate("core-2");
        listed = ["core-1", "core-3", "core-4"];
    }
    await sleep(GAP_MS);
    if (WIPE) {
        record.write("core-3 loses its disk and is back 1 s later");
        await system.kill("core-3");
        system.wipe("core-3");
        await sleep(1_000);
        system.start("core-3", false);
    }
    await sleep(4_000);
    const last = await operator.read(30_000);
    record.write(`read back: version ${last.configuration?.version}, statuses ${JSON.stringify(last.statuses)}`);
    const isKept = last.configuration?.version === operator.acknowledged.version;
    record.write(isKept ? "the rule held" : "broken: the acknowledged configuration does not come back");
    exitCode = isKept ? 0 : 1;
}
catch (error) {
    record.write(`the case could not run: ${error.stack}`);
}
finally {
    await system.close();
}
process.exit(exitCode);
