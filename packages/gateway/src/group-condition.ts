import type { EndpointState } from "@medlarledge/protocol";
import type { Reachability } from "@medlarledge/routing";

/** Reachability and use of an endpoint, as one process observes them. */
export interface EndpointCondition {
    readonly endpoint: string;
    readonly state: EndpointState;
    /** Sequence number of the announcement in use. */
    readonly announcement: number;
    /** Time since the endpoint announced that it leaves; undefined unless it leaves. */
    readonly leavingMs: number | undefined;
    readonly reach: Reachability;
    /** Time since its last answer to this process; undefined before the first. */
    readonly quietMs: number | undefined;
    /** Number of connections of this process. */
    readonly connections: number;
    readonly idle: number;
    /** Number of connections that are reserved for callers' transactions. */
    readonly transactions: number;
    /** Number of statements that wait for a connection. */
    readonly waiting: number;
    /** Number of running statements, over connections of this process or of others. */
    readonly running: number;
    /** Expected duration of an order, in ms, from this host's orders and the reports of others. */
    readonly expectedMs: number;
    readonly failureShare: number;
    /** Age of the newest report of another host; undefined before the first. */
    readonly reportAgeMs: number | undefined;
}

/** Condition of a group as one process observes it, for logs and metrics. */
export interface GroupCondition {
    /** The endpoint that last answered as primary, and the time since then. */
    readonly primary: { readonly endpoint: string; readonly term: number; readonly ageMs: number; } | undefined;
    /** Time without a usable primary; undefined while there is one. */
    readonly leaderlessMs: number | undefined;
    /** Time since the last promotion order of control. */
    readonly orderedMs: number | undefined;
    readonly endpoints: readonly EndpointCondition[];
}
