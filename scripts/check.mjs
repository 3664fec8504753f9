// Runs every gate of the repository in order and stops at the first failure. The last line counts the tests.
import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, relative } from "node:path";

const reportFolder = mkdtempSync(join(tmpdir(), "medlarledge-check-"));
const reportFile = join(reportFolder, "tests.json");

/** Failures that KNOWN-RED.txt lists for CI, each as `soak seed SEED RULE` or `test FILE: NAME`. */
const knownRed = readFileSync("KNOWN-RED.txt", "utf8").match(/(?<=^ {2}ci: ).+$/gm) ?? [];
const knownRedTests = knownRed.flatMap(entry => {
    const [, file, name] = /^test (\S+): (.+)$/.exec(entry) ?? [];
    return file === undefined ? [] : [{ file, name }];
});

const steps = [
    ["install", "npm", ["ci", "--prefer-offline"]],
    ["format", process.execPath, ["scripts/format.mjs", "--check"]],
    ["lint", "npx", ["--no-install", "eslint", "--max-warnings", "0", "."]],
    ["types", "npx", ["--no-install", "tsc", "--noEmit"]],
    // Without the known red tests the run has to exit with 0, so that an error outside of any test fails it too.
    ["tests", "npx", vitestArguments(reportFile, [], `^(?!(?:${knownRedPattern()})$)`)],
    // The real programs under a short series of faults; longer series with fresh seeds are run by hand.
    ["soak", process.execPath, ["scripts/soak.mjs", "--seeds", "7", "--seconds", "8", "--network", "100"]],
    [
        "soak of departures",
        process.execPath,
        ["scripts/soak.mjs", "--series", "departures", "--seeds", "3", "--seconds", "20", "--network", "100"],
    ],
    [
        "soak of replacements",
        process.execPath,
        ["scripts/soak.mjs", "--series", "replacements", "--seeds", "41", "--seconds", "20", "--network", "100"],
    ],
];

let failed = false;
const skipInstall = process.argv.includes("--skip-install");
for (const [name, command, args] of steps) {
    if (name === "install" && skipInstall) {
        continue;
    }
    const startedAt = Date.now();
    const isSoak = name.startsWith("soak");
    const result = spawnSync(command, args, { stdio: isSoak ? ["inherit", "pipe", "inherit"] : "inherit" });
    const output = String(result.stdout ?? "");
    process.stdout.write(output);
    console.log(`check: ${name} ${result.status === 0 ? "passed" : "failed"} in ${Date.now() - startedAt} ms`);
    const violations = isSoak && result.status !== 0 ? soakViolations(output) : [];
    if (violations.length > 0 && violations.every(violation => knownRed.includes(violation))) {
        console.log("check: KNOWN-RED.txt lists every violation of the soak above");
    }
    else if (result.status !== 0 || (name === "tests" && !runKnownRedTests())) {
        failed = true;
        break;
    }
}

console.log(closingLine());
rmSync(reportFolder, { recursive: true, force: true });
process.exit(failed ? 1 : 0);

function vitestArguments(outputFile, files, pattern) {
    const reporters = ["--reporter=default", "--reporter=json", `--outputFile.json=${outputFile}`];
    return ["--no-install", "vitest", "run", ...reporters, `--testNamePattern=${pattern}`, ...files];
}

/** Pattern that matches the names of the known red tests; without any it matches no name. */
function knownRedPattern() {
    const escaped = knownRedTests.map(({ name }) => name.replace(/[.*+?^${}()|[\]\\]/g, "\\$&"));
    return escaped.length === 0 ? "(?!)" : escaped.join("|");
}

/** Runs the known red tests and prints their results. Returns false when one of them does not exist. */
function runKnownRedTests() {
    if (knownRedTests.length === 0) {
        return true;
    }
    const outputFile = join(reportFolder, "known-red.json");
    const files = [...new Set(knownRedTests.map(({ file }) => file))];
    spawnSync("npx", vitestArguments(outputFile, files, `^(?:${knownRedPattern()})$`), { stdio: "ignore" });
    const results = new Map(
        JSON.parse(readFileSync(outputFile, "utf8")).testResults.flatMap(({ name: path, assertionResults }) =>
            assertionResults.map(({ fullName, status }) => [`${relative(process.cwd(), path)}: ${fullName}`, status])
        ),
    );
    const statuses = knownRedTests.map(({ file, name }) => [`${file}: ${name}`, results.get(`${file}: ${name}`)]);
    for (const [test, status] of statuses) {
        console.log(`check: known red test ${status ?? "does not exist"}: ${test}`);
    }
    return statuses.every(([, status]) => status === "passed" || status === "failed");
}

/** Reads the test counts; a gate that failed before the tests counts as one failure, a known red test as none. */
function closingLine() {
    try {
        const { testResults, numPassedTests, numFailedTests } = JSON.parse(readFileSync(reportFile, "utf8"));
        const broken = testResults.filter(file => file.status === "failed" && file.assertionResults.length === 0);
        return `${numPassedTests} passed, ${numFailedTests + broken.length} failed`;
    }
    catch {
        return "0 passed, 1 failed";
    }
}

/** Returns the seed and the rule of each violation that the soak printed. */
function soakViolations(output) {
    const found = [];
    let seed = "";
    for (const line of output.split("\n")) {
        seed = /^seed (\d+): VIOLATED/.exec(line)?.[1] ?? seed;
        const rule = /^ {4}(\w+): /.exec(line)?.[1];
        if (rule !== undefined && rule !== "faults") {
            found.push(`soak seed ${seed} ${rule}`);
        }
    }
    return found;
}
