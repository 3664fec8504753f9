// Writes the pages of docs/reference from the sources: npm run reference
import { build } from "esbuild";
import { spawnSync } from "node:child_process";

const outfile = "dist/reference.cjs";
await build({
    entryPoints: ["packages/testing/src/reference/main.ts"],
    outfile,
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    logLevel: "warning",
    external: ["typescript", "libpg-query"],
    // The library's main file loads its parts by computed paths, which a bundle cannot follow.
    alias: { "jsonc-parser": "./node_modules/jsonc-parser/lib/esm/main.js" },
});
process.exit(spawnSync(process.execPath, [outfile], { stdio: "inherit" }).status ?? 1);
