// Builds the programs and runs the benchmark. Everything that it starts ends with it.
import { spawn, spawnSync } from "node:child_process";

const built = spawnSync(process.execPath, ["scripts/build.mjs", "--bundles-only"], { stdio: "inherit" });
if (built.status !== 0) {
    process.exit(built.status ?? 1);
}
const bench = spawn(process.execPath, ["dist/bench.cjs", ...process.argv.slice(2)], { stdio: "inherit" });
// The terminal sends an interrupt to the whole group; this process waits for the other one to clean up.
process.on("SIGINT", () => undefined);
process.on("SIGTERM", () => bench.kill("SIGTERM"));
bench.on("exit", code => process.exit(code ?? 1));
