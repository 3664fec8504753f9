export { ExitCode } from "./exit-code.js";
export { type Output, table } from "./output.js";
export { runProgram } from "./program.js";
export { VERSION } from "./version.js";
