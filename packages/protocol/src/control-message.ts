import type { ConfigurationChange } from "./configuration.js";
import type { DatabaseView } from "./endpoint.js";
import type { Host } from "./host.js";
import type { Term } from "./position.js";

/** First message on every connection between two processes, in both directions. */
export interface Hello {
    readonly kind: "hello";
    readonly protocol: number;
    readonly host: Host;
}

/** Entry host to leader: asks for one lease that covers all databases. */
export interface RenewLease {
    readonly kind: "renewLease";
    readonly sequence: number;
    /** Configuration number in force at the sender, and since when in ms of wall-clock time. */
    readonly configurationNumber: number;
    readonly configurationSince: number;
    /** Version of the last view received; the leader sends what changed since. */
    readonly viewVersion: number;
    readonly draining: boolean;
}

/** Leader to entry host: answers one renewal. The lease runs from the moment the renewal was sent. */
export interface LeaseGranted {
    readonly kind: "leaseGranted";
    readonly sequence: number;
    readonly durationMs: number;
}

/** Any control host that does not lead, or cannot grant now. */
export interface LeaseRefused {
    readonly kind: "leaseRefused";
    readonly sequence: number;
    readonly leader: string | undefined;
}

/** Leader to entry host: no write of this database may be acknowledged under this or an older term. */
export interface Revoke {
    readonly kind: "revoke";
    readonly database: string;
    readonly term: Term;
}

export interface Revoked {
    readonly kind: "revoked";
    readonly database: string;
    readonly term: Term;
}

/** Leader to entry host: the databases that changed since the version that the host last had. */
export interface ViewUpdate {
    readonly kind: "viewUpdate";
    readonly version: number;
    /** True when this is the whole view and replaces what the host knew. */
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
    /** Several probes in a row went unanswered. */
    Silent: "silent",
    Reachable: "reachable",
} as const;
export type Suspicion = (typeof Suspicion)[keyof typeof Suspicion];

/** Entry host to leader: its view of one primary changed, or was asked for. */
export interface EndpointObservation {
    readonly kind: "endpointObservation";
    readonly database: string;
    readonly endpoint: string;
    readonly term: Term;
    readonly suspicion: Suspicion;
}

/** Leader to entry host: probe this endpoint now and report. */
export interface ConfirmEndpoint {
    readonly kind: "confirmEndpoint";
    readonly database: string;
    readonly endpoint: string;
    readonly term: Term;
}

/** A request to the leader made on behalf of an HTTP or command-line client. */
export interface LeaderRequest {
    readonly kind: "leaderRequest";
    readonly id: number;
    /** Key of the leader's table of request handlers. */
    readonly name: string;
    readonly body: unknown;
}

export interface LeaderReply {
    readonly kind: "leaderReply";
    readonly id: number;
    readonly ok: boolean;
    readonly body: unknown;
}

/** Entry host to the host that manages an endpoint's slots: how many statements wait or run here. */
export interface SlotRequest {
    readonly kind: "slotRequest";
    readonly database: string;
    readonly endpoint: string;
    /** Slots wanted in total, those already held included. */
    readonly wanted: number;
    /** Slots that the sender still holds; it never runs more statements than this. */
    readonly held: number;
    readonly sequence: number;
}

/** Answer to one request: the number that the host may hold for the stated time, counted from the request. */
export interface SlotGrant {
    readonly kind: "slotGrant";
    readonly database: string;
    readonly endpoint: string;
    readonly granted: number;
    readonly durationMs: number;
    readonly sequence: number;
}

/** Managing host to holder: reduce to this number as soon as running statements end. */
export interface SlotRecall {
    readonly kind: "slotRecall";
    readonly database: string;
    readonly endpoint: string;
    readonly keep: number;
}

/** Entry host to every control host: what it served since the last batch. Sent again until acknowledged. */
export interface ServiceCounts {
    readonly kind: "serviceCounts";
    /** Raised by one with each batch of this incarnation. */
    readonly sequence: number;
    /** Wall-clock milliseconds of the batch. */
    readonly at: number;
    /** Sums by database; their shape is that of the telemetry library. */
    readonly counts: Readonly<Record<string, unknown>>;
}

/** Control host to entry host: the batch is counted, now or earlier. */
export interface ServiceCountsReceived {
    readonly kind: "serviceCountsReceived";
    readonly sequence: number;
}

/**
 * Leader to entry hosts: registered hosts that have not renewed their lease for a while. They keep their share of
 * the connections, but no longer manage slots.
 */
export interface SilentHosts {
    readonly kind: "silentHosts";
    readonly ids: readonly string[];
}

/** Entry host to entry host: a caller asked here to cancel a statement that runs there. */
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
