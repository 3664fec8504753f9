import type { Reachability } from "@medlarledge/routing";

/** How one process sees and uses an endpoint. */
export interface EndpointCondition {
    readonly endpoint: string;
    readonly reach: Reachability;
    /** Time since its last answer to this process; undefined before the first. */
    readonly quietMs: number | undefined;
    /** Connections of this process. */
    readonly connections: number;
    readonly idle: number;
    /** Connections that callers' transactions hold. */
    readonly transactions: number;
    /** Statements that wait for a connection. */
    readonly waiting: number;
    /** Statements that run, over connections of this process or of others. */
    readonly running: number;
}

/** What one process knows of a group. */
export interface GroupCondition {
    /** The endpoint last seen to lead, and how long ago that was. */
    readonly primary: { readonly endpoint: string; readonly term: number; readonly ageMs: number; } | undefined;
    /** Time since no endpoint is known to lead; undefined while one is. */
    readonly leaderlessMs: number | undefined;
    /** Time since control last ordered a promotion. */
    readonly orderedMs: number | undefined;
    readonly endpoints: readonly EndpointCondition[];
}
