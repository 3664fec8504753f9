import type { EndpointRecord, PromotionOrder } from "./endpoint-record.js";
import type { HostPlacement } from "./host.js";
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

/** Control host to entry hosts and other control hosts: the hosts of the system. */
export interface HostList {
    readonly kind: "hostList";
    /** Consensus term of the sender; a list with a higher term is newer. */
    readonly term: number;
    readonly leader: string | undefined;
    /** Ids of the control hosts. */
    readonly control: readonly string[];
    /** Entry hosts in use, sorted by id; undefined from a control host that is not the leader, since its list may be incomplete. */
    readonly entries: readonly HostPlacement[] | undefined;
}

/** Control host to entry host: the number of the newest committed configuration. */
export interface ConfigurationOffer {
    readonly kind: "configurationOffer";
    readonly number: number;
}

/** Entry host to one control host: requests the configuration. */
export interface ConfigurationRequest {
    readonly kind: "configurationWanted";
}

/** Entry host to control hosts: the primary that it uses for a group, and whether it can reach that endpoint. */
export interface PrimaryReport {
    readonly kind: "primaryReport";
    readonly group: string;
    readonly endpoint: string;
    /** Latest term in which the endpoint was seen as the primary. */
    readonly term: Term;
    readonly reachable: boolean;
}

/** Leader to entry hosts: probe this endpoint now and answer with a `primaryReport`. */
export interface PrimaryCheck {
    readonly kind: "primaryCheck";
    readonly group: string;
    readonly endpoint: string;
}

/** Messages between the hosts that serve groups whose endpoints prove their own role as the primary. */
export type FleetMessage =
    | EndpointRecords
    | PromotionOrders
    | HostList
    | ConfigurationOffer
    | ConfigurationRequest
    | PrimaryReport
    | PrimaryCheck;
