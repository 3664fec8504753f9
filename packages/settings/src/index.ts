export * from "./class-match.js";
export * from "./configuration.js";
export * from "./document.js";
export * from "./finding.js";
export * from "./folder.js";
export * from "./host-settings.js";
export * from "./merge.js";
