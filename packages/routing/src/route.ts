import type { EndpointRole, Position, RegisteredEndpoint, TermRecord } from "@medlarledge/protocol";
import type { PrimaryPositions } from "./primary-positions.js";

/** Service class of requests, from the configuration. */
export interface RequestClass {
    readonly name: string;
    readonly worth: number;
    readonly ageMs: number | undefined;
    readonly deadlineMs: number;
    readonly repeatable: boolean;
}

/** `setAside` endpoints get no requests; `probing` ones get one at a time, to test whether they have recovered. */
export type HealthState = "ok" | "setAside" | "probing";

/** An endpoint that the router may choose, with its present state. */
export interface Candidate {
    readonly endpoint: RegisteredEndpoint;
    readonly role: EndpointRole;
    readonly sameDataCentre: boolean;
    readonly timeline: number | undefined;
    readonly knownPosition: Position | undefined;
    /** When the known position was queried. */
    readonly knownAt: number | undefined;
    /** Statements of this host that run or wait at the endpoint. */
    readonly inFlight: number;
    readonly health: HealthState;
    readonly lagMs: number | undefined;
}

export interface RouteRequest {
    readonly write: boolean;
    /** Position to reach under the current term (`checkFloor`); undefined when the session has no floor. */
    readonly floor: Position | undefined;
    /** Maximum age of the data in ms. When a floor is given too, both apply. */
    readonly ageMs: number | undefined;
    readonly terms: readonly TermRecord[];
    readonly primaryPositions: PrimaryPositions;
    readonly arrivedAt: number;
    readonly deadlineAt: number;
    /** Maximum wait for a replica to catch up, counted from the arrival, in ms; 0 for no wait. */
    readonly waitMs: number;
    readonly replicaReads: boolean;
    /** Without a valid lease, only reads with a maximum age run. */
    readonly leaseValid: boolean;
    /**
     * Endpoints on which this request failed. One whose position query fell short is only added once `waitMs` has
     * passed since the arrival: its answer contains its position, and it may catch up soon.
     */
    readonly failedEndpoints: readonly string[];
}

export const RefusalReason = {
    /** The lease has expired and the request is not a read with a maximum age. */
    CutOff: "cutOff",
    /** No sample of the primary's position is recent enough for the maximum age. */
    AgeUnproved: "ageUnproved",
    NoEndpoint: "noEndpoint",
    Deadline: "deadline",
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

export type RouteDecision =
    /**
     * `proof` states how the endpoint's position is established: `known` by an earlier report, `self` by a query before
     * the statement that must reach `floor` (`proofHolds`), `none` when no proof is needed.
     */
    | {
        readonly kind: "send";
        readonly endpoint: string;
        readonly proof: "none" | "known" | "self";
        readonly floor: Position | undefined;
    }
    /** Decide again at this time, or earlier when a position, the view or the lease changes. */
    | { readonly kind: "wait"; readonly untilMs: number; }
    | { readonly kind: "refuse"; readonly reason: RefusalReason; };
