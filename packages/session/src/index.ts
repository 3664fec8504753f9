export * from "./floor-check.js";
export * from "./session-state.js";
export * from "./token.js";
