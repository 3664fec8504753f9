import type { EndpointRole, EndpointState } from "./endpoint.js";

/** The latest announcement of an endpoint. */
export interface EndpointRecord {
    readonly id: string;
    /** Name of the group: the endpoints that replicate one database, and the service that they provide together. */
    readonly group: string;
    readonly dataCentre: string;
    readonly host: string;
    readonly port: number;
    /** Maximum number of concurrent statements. */
    readonly slots: number;
    /** Start time of the endpoint process in ms since 1970, by its own clock; identifies a restart. */
    readonly born: number;
    /** Increases with every announcement of one process; starts anew after a restart. */
    readonly sequence: number;
    readonly state: EndpointState;
    /** Role that the endpoint reports. */
    readonly role: EndpointRole;
}

/** Order of the control hosts to promote an endpoint to the primary of its group. */
export interface PromotionOrder {
    readonly group: string;
    readonly endpoint: string;
    /** Fencing token of the order; a higher one is newer. */
    readonly fence: number;
}
