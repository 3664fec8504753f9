export type { GatewayEvent, GatewayListener } from "./gateway-event.js";
export { Gateway, type GatewayOptions } from "./gateway.js";
export type { EndpointUse, Group, PrimaryState } from "./group.js";
export type { RelayLinks } from "./relay-client.js";
export { Consistency, type GroupSettings, type Route, type Routing } from "./route.js";
