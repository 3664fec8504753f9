import type { EndpointRole, Position, RegisteredEndpoint, TermRecord } from "@medlarledge/protocol";
import type { PrimaryPositions } from "./primary-positions.js";

/** How requests of one kind are treated; from the configuration. */
export interface RequestClass {
    readonly name: string;
    readonly worth: number;
    readonly ageMs: number | undefined;
    readonly deadlineMs: number;
    readonly repeatable: boolean;
}

/** `probing` endpoints get one request at a time, to see whether they have recovered. */
export type HealthState = "ok" | "setAside" | "probing";

/** One endpoint as the router sees it at this moment. */
export interface Candidate {
    readonly endpoint: RegisteredEndpoint;
    readonly role: EndpointRole;
    readonly sameDataCentre: boolean;
    readonly timeline: number | undefined;
    readonly knownPosition: Position | undefined;
    /** When the known position was asked for. */
    readonly knownAt: number | undefined;
    /** Statements running or queued there, as far as this host knows. */
    readonly inFlight: number;
    readonly health: HealthState;
    readonly lagMs: number | undefined;
}

export interface RouteRequest {
    readonly write: boolean;
    /** Position to reach under the current term (`checkFloor`); undefined when the session has no floor. */
    readonly floor: Position | undefined;
    /** Accepted age of the data. Given together with a floor, both hold. */
    readonly ageMs: number | undefined;
    readonly terms: readonly TermRecord[];
    readonly primaryPositions: PrimaryPositions;
    readonly arrivedAt: number;
    readonly deadlineAt: number;
    /** Longest wait for a replica to catch up, from the arrival; 0 for none. */
    readonly waitMs: number;
    readonly replicaReads: boolean;
    /** Without a lease only reads of a stated age run. */
    readonly leaseValid: boolean;
    /**
     * Endpoints that failed this request. One whose proof failed is only added when `waitMs` has passed since the
     * arrival: its answer tells how far it is, and it may be there soon.
     */
    readonly failedEndpoints: readonly string[];
}

export const RefusalReason = {
    /** The lease has ended and the request is not a read of a stated age. */
    CutOff: "cutOff",
    /** No position of the primary within the age is known. */
    AgeUnproved: "ageUnproved",
    NoEndpoint: "noEndpoint",
    Deadline: "deadline",
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

export type RouteDecision =
    /** `self`: the endpoint's position must be queried before the statement and reach `floor` (`proofHolds`). */
    | {
        readonly kind: "send";
        readonly endpoint: string;
        readonly proof: "none" | "known" | "self";
        readonly floor: Position | undefined;
    }
    /** Choose again at this time, or earlier when a position, a view or a lease changes. */
    | { readonly kind: "wait"; readonly untilMs: number; }
    | { readonly kind: "refuse"; readonly reason: RefusalReason; };
