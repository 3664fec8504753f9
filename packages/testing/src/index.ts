export { type ClusterOptions, LocalCluster } from "./cluster/local-cluster.js";
export type { LocalEndpoint } from "./cluster/local-endpoint.js";
export type { HostReport, LocalHost } from "./cluster/local-host.js";
export { type AnnouncementSettings, Announcer, SIGNATURE_HEADER, signBody } from "./stand-in/announcer.js";
export type { Faults } from "./stand-in/answer-queue.js";
export type { PasswordSettings } from "./stand-in/authentication.js";
export type { ReplicationAddress } from "./stand-in/replication.js";
export {
    StandInEndpoint,
    type StandInOptions,
    type StandInStatus,
    type TableRow,
} from "./stand-in/stand-in-endpoint.js";
