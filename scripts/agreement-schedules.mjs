// Runs generated schedules of the agreement: npm run agreement:schedules -- --seed N --count N
import { spawnSync } from "node:child_process";
import { parseArgs } from "node:util";

const OPTIONS = { seed: { type: "string", default: "1" }, count: { type: "string", default: "24000" } };

/** Reads the options; anything but positive whole numbers is a usage error. */
function readOptions() {
    try {
        const { values } = parseArgs({ options: OPTIONS });
        const [seed, count] = [Number(values.seed), Number(values.count)];
        return Number.isSafeInteger(seed) && seed > 0 && Number.isSafeInteger(count) && count > 0
            ? { seed, count }
            : undefined;
    }
    catch {
        return undefined;
    }
}

const options = readOptions();
if (options === undefined) {
    console.error("usage: npm run agreement:schedules -- [--seed N] [--count N], positive whole numbers");
    process.exit(2);
}
const environment = {
    ...process.env,
    AGREEMENT_SEED: String(options.seed),
    AGREEMENT_COUNT: String(options.count),
};
const args = ["--no-install", "vitest", "run", "packages/agreement/tests/schedules"];
const result = spawnSync("npx", args, { stdio: "inherit", env: environment });
console.log(`agreement schedules: seed ${options.seed}, count ${options.count}`);
process.exit(result.status ?? 1);
