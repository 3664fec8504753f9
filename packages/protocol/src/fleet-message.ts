import type { EndpointRecord, PromotionOrder } from "./endpoint-record.js";
import type { Host } from "./host.js";
import type { Term } from "./position.js";

/** Announcements of endpoints, passed on among control hosts and from them to entry hosts. */
export interface EndpointRecords {
    readonly kind: "endpointRecords";
    readonly records: readonly EndpointRecord[];
}

/** Orders of promotion, as they were given to the platform. */
export interface PromotionOrders {
    readonly kind: "primaryOrders";
    readonly orders: readonly PromotionOrder[];
}

/** Control host to entry hosts and other control hosts: the processes of the system. */
export interface HostList {
    readonly kind: "hostList";
    /** Agreement term of the sender; a list of a higher one is newer. */
    readonly term: number;
    readonly leader: string | undefined;
    /** Ids of the control hosts. */
    readonly control: readonly string[];
    /** Entry hosts in use; undefined from a control host that does not lead and so does not know them all. */
    readonly entries: readonly Host[] | undefined;
}

/** Control host to entry host: the number of the newest committed configuration. */
export interface ConfigurationOffer {
    readonly kind: "configurationOffer";
    readonly number: number;
}

/** Entry host to one control host: send the configuration. */
export interface ConfigurationRequest {
    readonly kind: "configurationWanted";
}

/** Entry host to control hosts: the primary of a group as this host uses it, and whether it answers here. */
export interface PrimaryReport {
    readonly kind: "primaryReport";
    readonly group: string;
    readonly endpoint: string;
    /** Term in which the endpoint was last seen to lead. */
    readonly term: Term;
    readonly reachable: boolean;
}

/** Leading control host to entry hosts: report on this endpoint at once. */
export interface PrimaryCheck {
    readonly kind: "primaryCheck";
    readonly group: string;
    readonly endpoint: string;
}

/** Messages between the processes that serve groups of endpoints proving their own lead. */
export type FleetMessage =
    | EndpointRecords
    | PromotionOrders
    | HostList
    | ConfigurationOffer
    | ConfigurationRequest
    | PrimaryReport
    | PrimaryCheck;
