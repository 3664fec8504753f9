export { explain, type Explanation, type LogFile } from "./explain.js";
export type { LineFinding, LogLine } from "./log-line.js";
export { renderExplanation } from "./render.js";
export type { Subject } from "./subject.js";
export type { TimedLine } from "./timeline.js";
