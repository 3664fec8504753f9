// Bundles the program into one file and injects it into a copy of the Node binary: dist/medlarledge.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";

const SEA_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const ENTRIES = {
    medlarledge: "packages/cli/src/main.ts",
    "stand-in": "packages/testing/src/stand-in-main.ts",
    quickstart: "packages/testing/src/quickstart/main.ts",
    load: "packages/testing/src/load/main.ts",
    capacity: "packages/testing/src/capacity/main.ts",
    bench: "packages/testing/src/bench/main.ts",
    "bench-load": "packages/testing/src/bench/load-main.ts",
};

checkVersion();
mkdirSync("dist", { recursive: true });
for (const [name, entry] of Object.entries(ENTRIES)) {
    await bundle(entry, `dist/${name}.cjs`);
}
if (!process.argv.includes("--bundles-only")) {
    buildBinary("dist/medlarledge.cjs", "dist/medlarledge");
}

async function bundle(entry, outfile) {
    await build({
        entryPoints: [entry],
        outfile,
        bundle: true,
        platform: "node",
        format: "cjs",
        target: "node20",
        sourcemap: "inline",
        sourcesContent: false,
        logLevel: "warning",
        // The library's main file loads its parts by computed paths, which a bundle cannot follow.
        alias: { "jsonc-parser": "./node_modules/jsonc-parser/lib/esm/main.js" },
        plugins: [inlineWasm(), withoutNativeParts()],
    });
}

/** Puts the grammar's WebAssembly file into the bundle, so that the binary runs from an empty folder. */
function inlineWasm() {
    return {
        name: "inline-wasm",
        setup(setup) {
            setup.onLoad({ filter: /libpg-query[/\\]wasm[/\\]libpg-query\.js$/ }, args => {
                const source = readFileSync(args.path, "utf8");
                const wasm = readFileSync(args.path.replace(/\.js$/, ".wasm")).toString("base64");
                const marker = "function getWasmBinary(binaryFile){";
                if (!source.includes(marker)) {
                    throw new Error("the grammar's loader has changed; the WebAssembly file cannot be inlined");
                }
                const binary = `${marker}return new Uint8Array(Buffer.from("${wasm}","base64"));`;
                return { contents: source.replace(marker, binary), loader: "js" };
            });
        },
    };
}

/** Makes optional native parts fail to load, as if they were not installed; the libraries then use JavaScript. */
function withoutNativeParts() {
    const names = /^(unix-dgram|msgpackr-extract|bufferutil|utf-8-validate|pg-native|pg-cloudflare)$/;
    return {
        name: "without-native-parts",
        setup(setup) {
            setup.onResolve({ filter: names }, args => ({ path: args.path, namespace: "native-part" }));
            setup.onLoad({ filter: /.*/, namespace: "native-part" }, args => ({
                contents: `throw new Error("${args.path} is not part of the bundle");`,
            }));
        },
    };
}

function buildBinary(bundleFile, binary) {
    writeFileSync(
        "dist/sea.json",
        JSON.stringify({ main: bundleFile, output: "dist/sea.blob", disableExperimentalSEAWarning: true }),
    );
    execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], { stdio: "ignore" });
    rmSync(binary, { force: true });
    copyFileSync(process.execPath, binary);
    chmodSync(binary, 0o755);
    execFileSync("npx", [
        "--no-install",
        "postject",
        binary,
        "NODE_SEA_BLOB",
        "dist/sea.blob",
        "--sentinel-fuse",
        SEA_FUSE,
    ], { stdio: "ignore" });
    console.log(`built ${binary}`);
}

function checkVersion() {
    const { version } = JSON.parse(readFileSync("package.json", "utf8"));
    const stated = /VERSION = "([^"]+)"/.exec(readFileSync("packages/cli/src/version.ts", "utf8"))?.[1];
    if (stated !== version) {
        throw new Error(`package.json states version ${version}, the program ${stated}`);
    }
}
