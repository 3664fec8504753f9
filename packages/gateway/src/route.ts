import type { CustomerDirectory } from "@medlarledge/customers";

/** Consistency of a route's reads: the commits that they are guaranteed to include. */
export const Consistency = {
    /** Every commit that was acknowledged before. */
    Primary: "primary",
    /** Every commit that was acknowledged before the stated age. */
    BoundedStaleness: "boundedStaleness",
    /** As bounded staleness, and every commit of the same session. */
    Session: "session",
} as const;
export type Consistency = (typeof Consistency)[keyof typeof Consistency];

/** How requests for one database name are served. */
export interface Route {
    readonly database: string;
    readonly group: string;
    readonly consistency: Consistency;
    /** Maximum age of the state that a read may show, in ms; 0 on routes to the primary. */
    readonly maxStalenessMs: number;
    /** Timeout of one statement, in ms. */
    readonly timeoutMs: number;
    /** Time in which a caller should have its answer, in ms; undefined when none is stated. */
    readonly targetMs: number | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Whether requests need no key, where the deployment has customers. */
    readonly isPublic: boolean;
}

export interface GroupSettings {
    /** Maximum number of connections of all processes together to each endpoint of the group. */
    readonly connections: number;
    /** Number of replicas that receive a commit before it is acknowledged. */
    readonly syncReplicas: number;
}

/** The part of a configuration that determines how requests are served. */
export interface Routing {
    readonly number: number;
    readonly routes: ReadonlyMap<string, Route>;
    readonly groups: ReadonlyMap<string, GroupSettings>;
    /** The customers and their keys; undefined in a deployment without customers. */
    readonly customers: CustomerDirectory | undefined;
    /** A transaction that is idle for longer may be rolled back, in ms. */
    readonly transactionIdleMs: number;
}
