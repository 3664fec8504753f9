import { runQuickstart } from "./quickstart.js";

runQuickstart(process.argv.includes("--stay"), line => process.stdout.write(`${line}\n`)).then(
    held => process.exit(held ? 0 : 1),
    (error: unknown) => {
        process.stderr.write(`quickstart: ${error instanceof Error ? error.message : String(error)}\n`);
        process.exit(1);
    },
);
