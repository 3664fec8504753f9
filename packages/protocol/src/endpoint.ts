import type { Position, Term } from "./position.js";

/** A database server process, as announced. */
export interface Endpoint {
    /** Stable name chosen by the endpoint's operator, unique within the database. */
    readonly id: string;
    readonly database: string;
    readonly dataCentre: string;
    readonly host: string;
    readonly port: number;
    /** PostgreSQL's system identifier of the data folder; differs when another server reuses the address. */
    readonly systemIdentifier: string;
    /** Incremented by the endpoint with every announcement; an announcement that is not newer is ignored. */
    readonly sequence: number;
    /** Maximum number of concurrent statements. */
    readonly slots: number;
    /** Maximum number of connections from all entry hosts together. */
    readonly connections: number;
}

export const EndpointState = {
    Active: "active",
    /** Announced that it is leaving: finishes running statements and gets no new ones. */
    Leaving: "leaving",
    Left: "left",
} as const;
export type EndpointState = (typeof EndpointState)[keyof typeof EndpointState];

export interface RegisteredEndpoint extends Endpoint {
    readonly state: EndpointState;
}

export const EndpointRole = {
    Primary: "primary",
    Replica: "replica",
} as const;
export type EndpointRole = (typeof EndpointRole)[keyof typeof EndpointRole];

/** Result of one probe of an endpoint. */
export interface EndpointProbeResult {
    readonly role: EndpointRole;
    /** PostgreSQL timeline id. */
    readonly timeline: number;
    /** Insert position of a primary, replay position of a replica. */
    readonly position: Position;
    readonly systemIdentifier: string;
}

/** One term of a database, as committed by the control hosts. */
export interface TermRecord {
    readonly term: Term;
    /** Endpoint id of the primary. */
    readonly primary: string;
    /** Log position at which this term starts; undefined while the promotion is running. */
    readonly start: Position | undefined;
    readonly timeline: number | undefined;
}

/** State of one database, as the leader sends it to entry hosts. */
export interface DatabaseView {
    readonly database: string;
    /** Oldest first; the last one is the current term. */
    readonly terms: readonly TermRecord[];
    readonly endpoints: readonly RegisteredEndpoint[];
}
