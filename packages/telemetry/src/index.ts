export * from "./burn-page.js";
export * from "./burn-text.js";
export * from "./burn.js";
export * from "./log.js";
export * from "./metrics.js";
export * from "./service-count.js";
export * from "./service-history.js";
