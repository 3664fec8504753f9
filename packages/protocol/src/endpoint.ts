import type { Position, Term } from "./position.js";

/** A database server process that announced itself. */
export interface Endpoint {
    /** Stable name chosen by the endpoint's operator, unique within the database. */
    readonly id: string;
    readonly database: string;
    readonly dataCentre: string;
    readonly host: string;
    readonly port: number;
    /** Identity of the data folder (PostgreSQL's system identifier); it changes when an address is reused. */
    readonly systemIdentifier: string;
    /** Raised by the endpoint with every announcement; an announcement that is not newer is ignored. */
    readonly sequence: number;
    /** Statements that may run at the same time. */
    readonly slots: number;
    /** Connections that the endpoint accepts from all entry hosts together. */
    readonly connections: number;
}

export const EndpointState = {
    Active: "active",
    /** Announced that it leaves: finishes running work and gets no new work. */
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

/** What one probe of an endpoint returned. */
export interface EndpointProbeResult {
    readonly role: EndpointRole;
    /** PostgreSQL's timeline. */
    readonly timeline: number;
    /** Insert position of a primary, replay position of a replica. */
    readonly position: Position;
    readonly systemIdentifier: string;
}

/** One term of a database, as committed by control. */
export interface TermRecord {
    readonly term: Term;
    /** Endpoint id of the primary. */
    readonly primary: string;
    /** Position at which this term's own log begins; undefined while the promotion is still running. */
    readonly start: Position | undefined;
    readonly timeline: number | undefined;
}

/** What entry hosts know about one database. */
export interface DatabaseView {
    readonly database: string;
    /** Oldest first; the last one is the current term. */
    readonly terms: readonly TermRecord[];
    readonly endpoints: readonly RegisteredEndpoint[];
}
