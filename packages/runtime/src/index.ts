export { type Address, parseAddress } from "./address.js";
export { Channel } from "./channel.js";
export { type Clock, SYSTEM_CLOCK } from "./clock.js";
export { type ConsensusReport, ConsensusTask, type ConsensusTaskOptions } from "./consensus-task.js";
export { type LeaderAnswer, LeaderClient } from "./leader-client.js";
export type { IdentityFiles } from "./peer-identity.js";
export type { LinkTiming } from "./peer-link.js";
export { type MeshEvent, type MeshTraffic, PeerMesh } from "./peer-mesh.js";
export { StallTolerantTimer } from "./stall-tolerant-timer.js";
