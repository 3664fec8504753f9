export * from "./agreement-message.js";
export * from "./codec.js";
export * from "./configuration.js";
export * from "./control-message.js";
export * from "./endpoint.js";
export * from "./host.js";
export * from "./message-table.js";
export * from "./position.js";
