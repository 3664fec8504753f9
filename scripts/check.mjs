// Runs every gate of the repository in order and stops at the first failure. The last line counts the tests.
import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const reportFolder = mkdtempSync(join(tmpdir(), "medlarledge-check-"));
const reportFile = join(reportFolder, "tests.json");
const steps = [
    ["install", "npm", ["ci", "--prefer-offline"]],
    ["format", process.execPath, ["scripts/format.mjs", "--check"]],
    ["lint", "npx", ["--no-install", "eslint", "--max-warnings", "0", "."]],
    ["types", "npx", ["--no-install", "tsc", "--noEmit"]],
    ["tests", "npx", [
        "--no-install",
        "vitest",
        "run",
        "--reporter=default",
        "--reporter=json",
        `--outputFile.json=${reportFile}`,
    ]],
    // The real programs under a short series of faults; longer series with fresh seeds are run by hand.
    ["soak", process.execPath, ["scripts/soak.mjs", "--seeds", "7", "--seconds", "8", "--network", "100"]],
];

let failed = false;
const skipInstall = process.argv.includes("--skip-install");
for (const [name, command, args] of steps) {
    if (name === "install" && skipInstall) {
        continue;
    }
    const startedAt = Date.now();
    const isSoak = name === "soak";
    const result = spawnSync(command, args, { stdio: isSoak ? ["inherit", "pipe", "inherit"] : "inherit" });
    const output = String(result.stdout ?? "");
    process.stdout.write(output);
    console.log(`check: ${name} ${result.status === 0 ? "passed" : "failed"} in ${Date.now() - startedAt} ms`);
    if (result.status !== 0 && isSoak && isKnownRed(output)) {
        console.log("check: KNOWN-RED.txt lists every violation of the soak above");
    }
    else if (result.status !== 0 && name === "tests" && areFailedTestsKnownRed()) {
        console.log("check: KNOWN-RED.txt lists every failed test above");
    }
    else if (result.status !== 0) {
        failed = true;
        break;
    }
}

console.log(closingLine());
rmSync(reportFolder, { recursive: true, force: true });
process.exit(failed ? 1 : 0);

/** Reads the test counts; a gate that failed before the tests counts as one failure. */
function closingLine() {
    try {
        const report = JSON.parse(readFileSync(reportFile, "utf8"));
        const broken = report.testResults.filter(file =>
            file.status === "failed" && file.assertionResults.length === 0
        );
        return `${report.numPassedTests} passed, ${report.numFailedTests + broken.length} failed`;
    }
    catch {
        return "0 passed, 1 failed";
    }
}

/** Returns true when KNOWN-RED.txt lists the full name of each failed test; prints these. */
function areFailedTestsKnownRed() {
    const known = new Set(readFileSync("KNOWN-RED.txt", "utf8").match(/(?<=^ {2}ci: test ).+$/gm) ?? []);
    let files;
    try {
        files = JSON.parse(readFileSync(reportFile, "utf8")).testResults;
    }
    catch {
        return false;
    }
    const failedTests = files.flatMap(file => file.assertionResults.filter(test => test.status === "failed"));
    for (const { fullName } of failedTests) {
        console.log(
            `check: failed test ${known.has(fullName) ? "in KNOWN-RED.txt" : "NOT in KNOWN-RED.txt"}: ${fullName}`,
        );
    }
    return failedTests.length > 0
        && failedTests.every(test => known.has(test.fullName))
        && files.every(file => file.status !== "failed" || file.assertionResults.length > 0);
}

/** Returns true when KNOWN-RED.txt lists the seed and the rule of each violation that the soak printed. */
function isKnownRed(output) {
    const known = new Set(readFileSync("KNOWN-RED.txt", "utf8").match(/(?<=^ {2}ci: )soak seed \d+ \w+$/gm) ?? []);
    const found = [];
    let seed = "";
    for (const line of output.split("\n")) {
        seed = /^seed (\d+): VIOLATED/.exec(line)?.[1] ?? seed;
        const rule = /^ {4}(\w+): /.exec(line)?.[1];
        if (rule !== undefined && rule !== "faults") {
            found.push(`soak seed ${seed} ${rule}`);
        }
    }
    return found.length > 0 && found.every(violation => known.has(violation));
}
