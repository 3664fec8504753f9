// Bundles the programs for the users' platform into target/, one for each role so that none carries parts of the other.
import { build } from "esbuild";
import { mkdirSync } from "node:fs";

const PROGRAMS = {
    "medlarledge-entry": "platform/src/entry-main.ts",
    "medlarledge-control": "platform/src/control-main.ts",
};

mkdirSync("target", { recursive: true });
for (const [name, entry] of Object.entries(PROGRAMS)) {
    await build({
        entryPoints: [entry],
        outfile: `target/${name}.cjs`,
        bundle: true,
        platform: "node",
        format: "cjs",
        target: "node20",
        external: ["bufferutil", "utf-8-validate", "msgpackr-extract", "unix-dgram"],
        logLevel: "warning",
    });
}
