export { ElapsedClock } from "./elapsed-clock.js";
export { type AnsweredRequest, Failure, type GatewayEvent, type GatewayListener, KeyRefusal } from "./gateway-event.js";
export { Gateway, type GatewayOptions } from "./gateway.js";
export type { EndpointCondition, GroupCondition } from "./group-condition.js";
export type { Group, PrimaryState } from "./group.js";
export type { OperationLimits } from "./operation-limits.js";
export { type PrimaryPermits, UNRESTRICTED_PERMITS } from "./primary-permits.js";
export type { RelayLinks } from "./relay-client.js";
export { Consistency, type GroupSettings, type Route, type Routing } from "./route.js";
