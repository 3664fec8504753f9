// Builds and runs the measurements behind docs/CAPACITY.md; `-- --only NAME` runs one part.
import { spawnSync } from "node:child_process";

run(["scripts/build.mjs", "--bundles-only"]);
run(["--expose-gc", "dist/capacity.cjs", ...process.argv.slice(2)]);

function run(args) {
    const result = spawnSync(process.execPath, args, { stdio: "inherit" });
    if (result.status !== 0) {
        process.exit(result.status ?? 1);
    }
}
