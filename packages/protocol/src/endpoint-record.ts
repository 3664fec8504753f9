import type { EndpointRole, EndpointState } from "./endpoint.js";

/** An endpoint as it last announced itself. */
export interface EndpointRecord {
    readonly id: string;
    /** The endpoints that replicate one database, and their service as a whole, have one group. */
    readonly group: string;
    readonly dataCentre: string;
    readonly host: string;
    readonly port: number;
    /** Statements that run at the same time. */
    readonly slots: number;
    /** Start of its process in ms since 1970, by its own clock: a restart under the same id is a later life. */
    readonly born: number;
    /** Rises with every announcement of one life. */
    readonly sequence: number;
    readonly state: EndpointState;
    /** How the endpoint sees itself. */
    readonly role: EndpointRole;
}

/** An order of control that an endpoint takes over the lead of its group. */
export interface PromotionOrder {
    readonly group: string;
    readonly endpoint: string;
    /** Fencing token of the order; higher ones are newer. */
    readonly fence: number;
}
