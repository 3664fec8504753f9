export * from "./burn-page.js";
export * from "./burn-text.js";
export * from "./burn.js";
export { LineBudget, LINES_PER_SECOND } from "./line-budget.js";
export { LineWriter } from "./line-writer.js";
export * from "./log.js";
export * from "./metrics.js";
export * from "./service-count.js";
export * from "./service-history.js";
