export { ControlHost, type ControlHostOptions } from "./control-host.js";
export { EntryHost, type EntryHostOptions } from "./entry-host.js";
export type { ConfigurationReadResult } from "./group-member.js";
export type { ConfigurationReader, ControlService, PromotionAuthority } from "./ports.js";
export { PromotionOutcome } from "./ports.js";
