import type { ConfigurationChange } from "./configuration.js";
import type { DatabaseView } from "./endpoint.js";
import type { Host } from "./host.js";
import type { Term } from "./position.js";

/** First message on every connection between two processes, in both directions. */
export interface Hello {
    readonly kind: "hello";
    readonly protocol: number;
    readonly host: Host;
    /** True when the sender decodes compressed messages; undefined from versions that do not. */
    readonly acceptsCompressed?: boolean;
}

/** Entry host to leader: asks for one lease that covers all databases. */
export interface RenewLease {
    readonly kind: "renewLease";
    readonly sequence: number;
    /** Number of the configuration in force at the sender, and the wall-clock time in ms since which it is. */
    readonly configurationNumber: number;
    readonly configurationSince: number;
    /** Version of the last view received; the leader sends the changes since then. */
    readonly viewVersion: number;
    readonly draining: boolean;
}

/** Leader to entry host: grants one renewal. The lease starts at the time when the renewal was sent. */
export interface LeaseGranted {
    readonly kind: "leaseGranted";
    readonly sequence: number;
    readonly durationMs: number;
}

/** Control host to entry host: it is not the leader, or cannot grant a lease now. */
export interface LeaseRefused {
    readonly kind: "leaseRefused";
    readonly sequence: number;
    readonly leader: string | undefined;
}

/** Leader to entry host: acknowledge no more writes of this database under this or an older term. */
export interface Revoke {
    readonly kind: "revoke";
    readonly database: string;
    readonly term: Term;
}

/** Entry host to leader: confirms a `revoke`. */
export interface Revoked {
    readonly kind: "revoked";
    readonly database: string;
    readonly term: Term;
}

/** Leader to entry host: the databases that changed since the version that the host received last. */
export interface ViewUpdate {
    readonly kind: "viewUpdate";
    readonly version: number;
    /** True if this is the complete view, which replaces the view of the host. */
    readonly complete: boolean;
    readonly databases: readonly DatabaseView[];
    /** Entry hosts that share the connection limits, sorted by id; undefined when unchanged. */
    readonly hosts: readonly Host[] | undefined;
}

/** Leader to entry host: the newest accepted configuration. */
export interface ConfigurationUpdate {
    readonly kind: "configurationUpdate";
    readonly change: ConfigurationChange;
}

export const Suspicion = {
    /** The endpoint closed or refused the connection. */
    Closed: "closed",
    /** Several consecutive probes were unanswered. */
    Silent: "silent",
    Reachable: "reachable",
} as const;
export type Suspicion = (typeof Suspicion)[keyof typeof Suspicion];

/** Entry host to leader: reachability of a primary, sent when it changes and in answer to `confirmEndpoint`. */
export interface EndpointObservation {
    readonly kind: "endpointObservation";
    readonly database: string;
    readonly endpoint: string;
    readonly term: Term;
    readonly suspicion: Suspicion;
}

/** Leader to entry host: probe this endpoint now and answer with an `endpointObservation`. */
export interface ConfirmEndpoint {
    readonly kind: "confirmEndpoint";
    readonly database: string;
    readonly endpoint: string;
    readonly term: Term;
}

/** A request to the leader made on behalf of an HTTP or command-line client. */
export interface LeaderRequest {
    readonly kind: "leaderRequest";
    /** Unique among all requests of all processes, so that a restarted process takes no reply to its predecessor. */
    readonly id: string;
    /** Name of the request handler of the leader. */
    readonly name: string;
    readonly body: unknown;
}

export interface LeaderReply {
    readonly kind: "leaderReply";
    readonly id: string;
    readonly ok: boolean;
    readonly body: unknown;
}

/** Entry host to the host that manages the slots of an endpoint: requests slots for waiting and running statements. */
export interface SlotRequest {
    readonly kind: "slotRequest";
    readonly database: string;
    readonly endpoint: string;
    /** Number of slots wanted in total, including those already held. */
    readonly wanted: number;
    /** Number of slots that the sender holds; it never runs more statements than this at once. */
    readonly held: number;
    readonly sequence: number;
}

/** Answer to a `slotRequest`: number of slots granted for `durationMs` from the time when the request was sent. */
export interface SlotGrant {
    readonly kind: "slotGrant";
    readonly database: string;
    readonly endpoint: string;
    readonly granted: number;
    readonly durationMs: number;
    readonly sequence: number;
}

/** Managing host to entry host: reduce the held slots to `keep` as soon as running statements end. */
export interface SlotRecall {
    readonly kind: "slotRecall";
    readonly database: string;
    readonly endpoint: string;
    readonly keep: number;
}

/** Entry host to every control host: counts of the requests served since the last batch. Resent until acknowledged. */
export interface ServiceCounts {
    readonly kind: "serviceCounts";
    /** Incremented with each batch of this incarnation of the host. */
    readonly sequence: number;
    /** Wall-clock time of the batch, in ms since 1970. */
    readonly at: number;
    /** Sums by database, in the format of the telemetry package. */
    readonly counts: Readonly<Record<string, unknown>>;
}

/** Control host to entry host: acknowledges a batch, also one that it received before. */
export interface ServiceCountsReceived {
    readonly kind: "serviceCountsReceived";
    readonly sequence: number;
}

/**
 * Leader to entry hosts: ids of the registered hosts that have not renewed their lease for a while. They keep their
 * share of the connections, but no longer manage slots.
 */
export interface SilentHosts {
    readonly kind: "silentHosts";
    readonly ids: readonly string[];
}

/** Entry host to entry host: a caller of the sender requests to cancel a statement that runs on the receiver. */
export interface CancelStatement {
    readonly kind: "cancelStatement";
    readonly processId: number;
    readonly secretKey: number;
}

export type ControlMessage =
    | Hello
    | RenewLease
    | LeaseGranted
    | LeaseRefused
    | Revoke
    | Revoked
    | ViewUpdate
    | ConfigurationUpdate
    | EndpointObservation
    | ConfirmEndpoint
    | LeaderRequest
    | LeaderReply
    | SlotRequest
    | SlotGrant
    | SlotRecall
    | SilentHosts
    | CancelStatement
    | ServiceCounts
    | ServiceCountsReceived;
