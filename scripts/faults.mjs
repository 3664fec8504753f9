// Runs the fault matrix: npm run faults -- [--seed N] [--only CELL] [--pairs N] [--acknowledge primary|replica] [--write] [--trace]
import { build } from "esbuild";
import { spawn } from "node:child_process";
import { writeFileSync } from "node:fs";
import { createInterface } from "node:readline";
import { parseArgs } from "node:util";

const WORKERS = 5;
const BUNDLE = "dist/faults.mjs";
const OPTIONS = {
    seed: { type: "string", default: "1" },
    only: { type: "string" },
    pairs: { type: "string", default: "0" },
    acknowledge: { type: "string", default: "replica" },
    write: { type: "boolean", default: false },
    trace: { type: "boolean", default: false },
};

const values = readOptions();
const mode = values.acknowledge === "replica" ? "" : ` --acknowledge ${values.acknowledge}`;
const startedAt = Date.now();
await bundle();
const results = (await Promise.all(Array.from({ length: WORKERS }, (_, index) => shard(index)))).flat();
results.sort((left, right) => left.name.localeCompare(right.name));
const count = kind => results.filter(result => result.kind === kind).length;
const closing = `cells ${results.length}, held ${count("held")}, violated ${count("violated")}, `
    + `impossible ${count("impossible")}`;
if (values.write) {
    writeFileSync("docs/FAULTS.md", page());
}
console.log(`seed ${values.seed}, ${Math.round((Date.now() - startedAt) / 1_000)} s`);
console.log(closing);
process.exit(results.length > 0 && count("violated") === 0 ? 0 : 1);

function readOptions() {
    try {
        const { values } = parseArgs({ options: OPTIONS });
        if (![values.seed, values.pairs].every(text => Number.isSafeInteger(Number(text)) && Number(text) >= 0)) {
            throw new Error("not a number");
        }
        return values;
    }
    catch {
        console.error(
            "usage: npm run faults -- [--seed N] [--only CELL] [--pairs N] [--acknowledge primary|replica] [--write] [--trace]",
        );
        process.exit(2);
    }
}

/** The libraries stay outside of the bundle, because the SQL grammar loads its WebAssembly file from its folder. */
async function bundle() {
    await build({
        entryPoints: ["packages/testing/src/faults/main.ts"],
        outfile: BUNDLE,
        bundle: true,
        platform: "node",
        format: "esm",
        target: "node20",
        logLevel: "warning",
        plugins: [{
            name: "libraries-outside",
            setup: setup =>
                setup.onResolve(
                    { filter: /^[^./]/ },
                    args =>
                        args.kind !== "entry-point" && !args.path.startsWith("@medlarledge/")
                            ? { path: args.path, external: true }
                            : undefined,
                ),
        }],
    });
}

/** Runs every WORKERS-th cell in a process of its own; a process that fails counts as one violated cell. */
function shard(index) {
    const args = [BUNDLE, "--seed", values.seed, "--pairs", values.pairs, "--shard", `${index}/${WORKERS}`];
    args.push("--acknowledge", values.acknowledge);
    args.push(...(values.only === undefined ? [] : ["--only", values.only]), ...(values.trace ? ["--trace"] : []));
    const child = spawn(process.execPath, args, { stdio: ["ignore", "pipe", "inherit"] });
    const found = [];
    createInterface({ input: child.stdout }).on("line", line => {
        const result = JSON.parse(line);
        found.push(result);
        report(result);
    });
    return new Promise(resolve => {
        child.on("close", code => {
            const failed = { name: `worker ${index}`, kind: "violated", details: [`harness: exit code ${code}`] };
            resolve(code === 0 ? found : [...found, failed]);
        });
    });
}

/** Prints a violated cell with the command that runs it again. */
function report({ kind, name, details, traces }) {
    if (kind === "violated") {
        const lines = [...details.slice(0, 5), ...(traces ?? [])].map(line => `    ${line}`);
        console.log([`violated: npm run faults -- --only "${name}" --seed ${values.seed}${mode}`, ...lines].join("\n"));
    }
}

/** Pairs share one row with all pairs of their first fault. */
function rowOf({ name }) {
    const [first, second] = name.split(" @ ")[0].split(" + ");
    return second === undefined ? first : `${first} + another or the same again`;
}

function page() {
    const names = [...new Set(results.map(rowOf))].sort();
    const rows = names.map(name => {
        const cells = results.filter(result => rowOf(result) === name);
        const number = kind => cells.filter(cell => cell.kind === kind).length;
        return `| ${name} | ${cells.length} | ${number("held")} | ${number("violated")} | ${number("impossible")} |`;
    });
    const reasons = [...new Set(results.flatMap(({ reason }) => reason ?? []))];
    const broken = results.filter(({ kind }) => kind === "violated");
    return [
        "# Fault matrix",
        "",
        `Made by \`npm run faults -- --write --seed ${values.seed} --pairs ${values.pairs}${mode}\`. Each cell injects the`
        + " fault when the step is reached, heals it, and checks the nine invariants of design.md, section 1.2, and that"
        + " writes are accepted again within 8 s of simulated time.",
        "",
        closing,
        "",
        "| fault | cells | held | violated | impossible |",
        "| --- | --- | --- | --- | --- |",
        ...rows,
        "",
        "## Impossible cells",
        "",
        ...(reasons.length === 0 ? ["None."] : reasons.map(reason => `- ${reason}`)),
        "",
        "## Violated cells",
        "",
        ...(broken.length === 0 ? ["None."] : broken.map(({ name, details }) => `- ${name}: ${details[0]}`)),
        "",
    ].join("\n");
}
