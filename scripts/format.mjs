// Formats the TypeScript and JavaScript files of the repository; with --check it lists those that differ and fails.
// The formatter runs as WebAssembly: its native build needs a newer C library than some arm64 machines have.
import { createContext } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { execFileSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";

const FORMATTED = /^(?:(?:packages|platform)\/.*\.ts|scripts\/.*\.(?:ts|mjs)|[^/]*\.(?:ts|js|mjs))$/;

const { typescript, ...globalOptions } = JSON.parse(readFileSync("dprint.json", "utf8"));
const context = createContext(globalOptions);
const plugin = context.addPlugin(readFileSync(getPath()), typescript);
const problems = plugin.getConfigDiagnostics();
if (problems.length > 0) {
    throw new Error(
        `dprint.json: ${problems.map(({ propertyName, message }) => `${propertyName}: ${message}`).join("; ")}`,
    );
}

const isCheck = process.argv.includes("--check");
const listed = execFileSync("git", ["ls-files", "--cached", "--others", "--exclude-standard", "-z"], {
    encoding: "utf8",
});
const deleted = new Set(execFileSync("git", ["ls-files", "--deleted", "-z"], { encoding: "utf8" }).split("\0"));
const paths = [...new Set(listed.split("\0"))].filter(path => FORMATTED.test(path) && !deleted.has(path));
const differing = paths.filter(path => {
    const fileText = readFileSync(path, "utf8");
    const formatted = context.formatText({ filePath: path, fileText });
    if (formatted !== fileText && !isCheck) {
        writeFileSync(path, formatted);
    }
    return formatted !== fileText;
});

for (const path of differing) {
    console.log(`${isCheck ? "not formatted" : "formatted"}: ${path}`);
}
console.log(`${paths.length} files, ${differing.length} ${isCheck ? "not formatted" : "formatted"}`);
process.exit(isCheck && (differing.length > 0 || paths.length === 0) ? 1 : 0);
