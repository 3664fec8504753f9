export * from "./apply-result.js";
export { type ControlCommand, decodeCommand, encodeCommand } from "./command.js";
export { CONFIGURATION_TOO_LARGE } from "./configuration-state.js";
export { MAX_TERMS } from "./database-state.js";
export { EndpointObserver } from "./endpoint-observer.js";
export type { FailoverStep } from "./failover-step.js";
export {
    DEFAULT_TOLERATED_LOSSES,
    type GroupCondition,
    LeaveState,
    leaveState,
    repairedMembers,
    requiredVoters,
} from "./group-repair.js";
export { HostLease, type HostLeaseOptions } from "./host-lease.js";
export type { LeaderEffect, LeaderEvent, LeaderOptions } from "./leader-types.js";
export { ControlLeader } from "./leader.js";
export { type HostProcess, LeaseAuthority, type RenewalDecision } from "./lease-authority.js";
export { hostOfMember, nextMembers, replacementMemberId } from "./member-plan.js";
export type { MonitorEffect, MonitorEvent, MonitorView } from "./monitor-types.js";
export type { MonitorProbeResult } from "./primary-check.js";
export { PrimaryLease } from "./primary-lease.js";
export { PrimaryMonitor } from "./primary-monitor.js";
export { OPERATOR_PAGES, type Problem } from "./problems.js";
export { REQUEST_NAMES, type RequestError, type RequestName } from "./requests.js";
export { ControlState, MAX_HISTORY } from "./state.js";
export type {
    ConfigurationStatus,
    DatabaseStatus,
    EndpointStatus,
    FailoverStatus,
    HostStatus,
    Status,
} from "./status.js";
