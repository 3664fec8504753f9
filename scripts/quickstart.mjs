// Installs, builds and runs the quickstart. Everything that it starts ends with it.
import { spawn, spawnSync } from "node:child_process";

run("npm", ["ci", "--prefer-offline", "--silent"]);
run("node", ["scripts/build.mjs", "--bundles-only"]);
const quickstart = spawn(process.execPath, ["dist/quickstart.cjs", ...process.argv.slice(2)], { stdio: "inherit" });
// The terminal sends an interrupt to the whole group; this process waits for the other one to clean up.
process.on("SIGINT", () => undefined);
process.on("SIGTERM", () => quickstart.kill("SIGTERM"));
quickstart.on("exit", code => process.exit(code ?? 1));

function run(command, args) {
    const result = spawnSync(command, args, { stdio: "inherit" });
    if (result.status !== 0) {
        process.exit(result.status ?? 1);
    }
}
