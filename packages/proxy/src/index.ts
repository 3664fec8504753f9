export type { DrainReport } from "./drain.js";
export type * from "./ports.js";
export { Outcome, StatementKind } from "./ports.js";
export { Proxy } from "./proxy.js";
export type { DatabaseStatus, EndpointStatus, ProxyOptions, ProxyStatus } from "./proxy.js";
