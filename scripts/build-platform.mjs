// Bundles the programs for the users' platform into target/, one for each role so that none carries parts of the other.
// Each program is a small loader, the bundle, and the bundle's code as V8 compiled it: a restarted process is ready
// sooner, since it need not compile again.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { mkdirSync, writeFileSync } from "node:fs";
import { loaderOf } from "./program-loader.mjs";

const PROGRAMS = {
    "medlarledge-entry": "platform/src/entry-main.ts",
    "medlarledge-control": "platform/src/control-main.ts",
};

/**
 * Optional native parts of libraries. Looking for them at every start takes a fifth of it, and the hosts have none: the
 * libraries' own switches leave them out.
 */
const WITHOUT_NATIVE_PARTS = {
    "process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED": '"true"',
    "process.env.WS_NO_BUFFER_UTIL": '"true"',
    "process.env.WS_NO_UTF_8_VALIDATE": '"true"',
};

/** Columns after which the minified bundle begins a new line, so that stack traces still tell places apart. */
const LINE_LIMIT = 120;

mkdirSync("target", { recursive: true });
for (const [name, entry] of Object.entries(PROGRAMS)) {
    await build({
        entryPoints: [entry],
        outfile: `target/${name}.bundle.cjs`,
        bundle: true,
        platform: "node",
        format: "cjs",
        target: "node20",
        external: ["bufferutil", "utf-8-validate", "msgpackr-extract", "unix-dgram"],
        define: WITHOUT_NATIVE_PARTS,
        minifyWhitespace: true,
        lineLimit: LINE_LIMIT,
        legalComments: "none",
        logLevel: "warning",
    });
    writeFileSync(`target/${name}.cjs`, loaderOf(name));
    compile(name);
}

/** Loads the program once without running it and keeps what V8 compiled. */
function compile(name) {
    const env = { ...process.env, MEDLARLEDGE_CODE_CACHE: `target/${name}.cache` };
    execFileSync(process.execPath, [`target/${name}.cjs`], { env, stdio: "ignore" });
}
