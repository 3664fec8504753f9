import type { EndpointRecord, PromotionOrder } from "./endpoint-record.js";
import type { Host, HostPlacement } from "./host.js";
import type { Term } from "./position.js";

/** Control host to control and entry hosts: forwards announcements of endpoints. */
export interface EndpointRecords {
    readonly kind: "endpointRecords";
    readonly records: readonly EndpointRecord[];
}

/** Promotion orders, as they were sent to the platform. */
export interface PromotionOrders {
    readonly kind: "primaryOrders";
    readonly orders: readonly PromotionOrder[];
}

/** Control host to all linked hosts, and entry host to another one that asks for it: the hosts of the system. */
export interface HostList {
    readonly kind: "hostList";
    /** Consensus term of the sender. */
    readonly term: number;
    /** Index of the log entry from which the sender has the control hosts; in a list with a higher one they are newer. */
    readonly index: number;
    readonly leader: string | undefined;
    /** Ids of the control hosts. */
    readonly control: readonly string[];
    /** Entry hosts in use, sorted by id; undefined from a host that is not the leader, since its list may be incomplete. */
    readonly entries: readonly HostPlacement[] | undefined;
}

/** Entry host to entry host: asks for its list of hosts. It answers only while its own configuration is confirmed. */
export interface HostListRequest {
    readonly kind: "hostListWanted";
}

/** Control host to entry host: the number of the newest configuration that it knows to be committed; 0 before the first. */
export interface ConfigurationOffer {
    readonly kind: "configurationOffer";
    readonly number: number;
    /**
     * Whether the sender has heard from the leader within an election timeout, or leads, and has applied all that was
     * committed by then.
     */
    readonly isCurrent: boolean;
}

/** Entry host to one control host: requests the configuration. */
export interface ConfigurationRequest {
    readonly kind: "configurationWanted";
}

/**
 * Entry host to control hosts: the endpoint that it takes for the primary of a group, or that it was asked about, and
 * whether it can reach that endpoint.
 */
export interface PrimaryReport {
    readonly kind: "primaryReport";
    readonly group: string;
    readonly endpoint: string;
    /** Latest term in which the endpoint was seen as the primary; 0 if this host has not seen that. */
    readonly term: Term;
    readonly reachable: boolean;
}

/** Leader to entry hosts: probe this endpoint now and answer with a `primaryReport`. */
export interface PrimaryCheck {
    readonly kind: "primaryCheck";
    readonly group: string;
    readonly endpoint: string;
}

/** Entry host without a link to the leader, over another entry host, to the leader: asks for a lease. */
export interface ForwardedRenewal {
    readonly kind: "forwardedRenewal";
    /** The host that asks. */
    readonly host: Host;
    readonly sequence: number;
    /** The newest promotion orders that the host has confirmed. */
    readonly confirmed: readonly PromotionOrder[];
}

/** Leader, over the forwarding entry host, to the host that asked. */
export interface ForwardedGrant {
    readonly kind: "forwardedGrant";
    /** Id of the host that asked. */
    readonly to: string;
    /** Incarnation of that host, so that a restarted process takes no grant of the former one. */
    readonly incarnation: string;
    readonly sequence: number;
    /** Duration of the lease in ms; undefined when none is granted. */
    readonly durationMs: number | undefined;
    /** The newest order of each group. They apply before the lease, since messages may come over several hosts. */
    readonly orders: readonly PromotionOrder[];
}

/**
 * Entry host to the leader, also over another control or entry host: asks for the number of the newest committed
 * configuration.
 */
export interface FreshnessRequest {
    readonly kind: "freshnessRequest";
    /** Id of the host that asks. */
    readonly host: string;
    /** Incarnation of that host, so that a restarted process takes no answer to a question of the former one. */
    readonly incarnation: string;
    readonly sequence: number;
}

/** Leader, over the hosts that forwarded the question, to the host that asked. */
export interface FreshnessAnswer {
    readonly kind: "freshnessAnswer";
    readonly host: string;
    readonly incarnation: string;
    readonly sequence: number;
    /** The newest configuration that was committed when a quorum confirmed the leader, after the question arrived. */
    readonly number: number;
}

/** Messages between the hosts that serve groups whose endpoints prove their own role as the primary. */
export type FleetMessage =
    | EndpointRecords
    | PromotionOrders
    | HostList
    | HostListRequest
    | ConfigurationOffer
    | ConfigurationRequest
    | PrimaryReport
    | PrimaryCheck
    | ForwardedRenewal
    | ForwardedGrant
    | FreshnessRequest
    | FreshnessAnswer;
