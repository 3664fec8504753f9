import { STANDARD_OUTPUT } from "./output.js";
import { runProgram } from "./program.js";

// No await at the top level, so that the program can be bundled as one CommonJS file.
runProgram(process.argv.slice(2), STANDARD_OUTPUT).then(
    code => process.exit(code),
    (error: unknown) => {
        STANDARD_OUTPUT.error(`medlarledge: ${error instanceof Error ? error.stack ?? error.message : String(error)}`);
        process.exit(1);
    },
);
