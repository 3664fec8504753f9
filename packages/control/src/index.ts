export * from "./apply-result.js";
export { type ControlCommand, decodeCommand, encodeCommand } from "./command.js";
export { MAX_TERMS } from "./database-state.js";
export { EndpointObserver } from "./endpoint-observer.js";
export { HostLease, type HostLeaseOptions } from "./host-lease.js";
export { ControlState, MAX_HISTORY } from "./state.js";
