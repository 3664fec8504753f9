import type { ChoiceReason, Reachability } from "@medlarledge/routing";
import type { ErrorCode, LogPosition, Statement } from "@medlarledge/statements";
import type { Opening } from "./connection-pool-options.js";
import type { GroupCondition } from "./group-condition.js";

/** A request that was answered. */
export interface AnsweredRequest {
    readonly requestId: string;
    readonly database: string;
    readonly group: string;
    /** Customer in whose name it ran; undefined for an anonymous caller. */
    readonly customer: string | undefined;
    readonly statement: Statement["kind"];
    /** Endpoint of the last attempt. */
    readonly endpoint: string | undefined;
    /** Key of the caller's transaction that it belongs to. */
    readonly transaction: string | undefined;
    /** Time from its arrival to its answer. */
    readonly latencyMs: number;
    /** Part of the latency in which no endpoint could be chosen. */
    readonly waitedMs: number;
    readonly attempts: number;
    /** Number of the configuration in force. */
    readonly configuration: number;
}

/** Kinds of failure of a request. */
export const Failure = {
    /** It has not run, or was rolled back. */
    Refused: "refused",
    /** It was sent and not answered, so it may have run. */
    Unknown: "unknown",
    /** An endpoint answered with an error, or the request is invalid. */
    Failed: "failed",
} as const;
export type Failure = (typeof Failure)[keyof typeof Failure];

/** Reasons for which a caller's key is refused. */
export const KeyRefusal = {
    /** The key is missing, unknown or revoked. */
    NotAuthorized: "notAuthorized",
    /** This host may not accept keys at present. */
    Unproved: "unproved",
} as const;
export type KeyRefusal = (typeof KeyRefusal)[keyof typeof KeyRefusal];

/** Events that a gateway reports for logs and metrics. */
export type GatewayEvent =
    | {
        readonly kind: "served";
        readonly request: AnsweredRequest;
        readonly onPrimary: boolean;
        readonly targetMs: number | undefined;
    }
    | {
        readonly kind: "notServed";
        readonly failure: Failure;
        readonly request: AnsweredRequest;
        readonly code: ErrorCode;
        /** Why the request failed. */
        readonly cause: string;
        /** State of the group at that time. */
        readonly condition: GroupCondition;
    }
    /** A read was sent to an endpoint that was chosen by the reported load. */
    | { readonly kind: "chosen"; readonly group: string; readonly endpoint: string; readonly reason: ChoiceReason; }
    /** The share of failed orders of an endpoint has become high, or low again. */
    | {
        readonly kind: "failing";
        readonly group: string;
        readonly endpoint: string;
        readonly isFailing: boolean;
        readonly failureShare: number;
    }
    /** A caller named a database that the configuration in force does not have. */
    | { readonly kind: "unknownDatabase"; readonly database: string; readonly configuration: number; }
    /** An attempt failed, and the request is retried. */
    | {
        readonly kind: "retried";
        readonly requestId: string;
        readonly group: string;
        readonly endpoint: string;
        readonly cause: string;
        readonly attempt: number;
        /**
         * Position that the endpoint's log was required to have reached; undefined when none, or the primary, was
         * required.
         */
        readonly required: LogPosition | undefined;
        /** Position that the endpoint reported with its refusal. */
        readonly reached: LogPosition | undefined;
    }
    /** A caller's open transaction was rolled back; the caller gets an error at the next statement. */
    | {
        readonly kind: "aborted";
        readonly group: string;
        readonly endpoint: string | undefined;
        readonly transaction: string;
        /** Its latest request. */
        readonly requestId: string;
        readonly cause: string;
    }
    /** A caller or its request was refused because of its key. */
    | { readonly kind: "keyRefused"; readonly database: string; readonly refusal: KeyRefusal; }
    /** A configuration came into force that lacks the keys of open sessions. */
    | {
        readonly kind: "keysRevoked";
        readonly configuration: number;
        /** Idle sessions that were closed. */
        readonly closed: number;
        /** Sessions whose open transaction was rolled back. */
        readonly rolledBack: number;
    }
    /** This host closed a caller's connection while a request was outstanding. */
    | { readonly kind: "cut"; readonly requestId: string; readonly database: string; readonly cause: string; }
    | {
        readonly kind: "reach";
        readonly group: string;
        readonly endpoint: string;
        readonly reach: Reachability;
        readonly former: Reachability;
        /** Time since the last answer; undefined before the first. */
        readonly quietMs: number | undefined;
        readonly cause: string;
    }
    /** A connection to an endpoint is being opened. */
    | ({ readonly kind: "opening"; readonly group: string; readonly endpoint: string; } & Opening)
    /** The endpoint answered as primary, and the primary or its term was a different one before. */
    | {
        readonly kind: "primary";
        readonly group: string;
        readonly endpoint: string;
        readonly term: number;
        readonly former: string | undefined;
    }
    /** The endpoint that was confirmed as the primary answered that it is not. */
    | { readonly kind: "denied"; readonly group: string; readonly endpoint: string; readonly term: number; };

export type GatewayListener = (event: GatewayEvent) => void;
