// Runs the fault soak on the real programs: npm run soak -- [--seeds 1..50] [--seconds N] [--only FAULT,...] [--jobs N]
import { build } from "esbuild";
import { spawnSync } from "node:child_process";

const BUNDLE = "dist/soak.mjs";

run(process.execPath, ["scripts/build-platform.mjs"]);
await build({
    entryPoints: ["platform/tests/soak/main.ts"],
    outfile: BUNDLE,
    bundle: true,
    platform: "node",
    format: "esm",
    target: "node20",
    logLevel: "warning",
});
run(process.execPath, [BUNDLE, ...process.argv.slice(2)]);

function run(command, args) {
    const { status } = spawnSync(command, args, { stdio: "inherit" });
    if (status !== 0) {
        process.exit(status ?? 1);
    }
}
