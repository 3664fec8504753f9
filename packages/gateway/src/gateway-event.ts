import type { Reachability } from "@medlarledge/routing";
import type { ErrorCode, LogPosition, Statement } from "@medlarledge/statements";
import type { GroupCondition } from "./group-condition.js";

/** A request that was answered. */
export interface AnsweredRequest {
    readonly requestId: string;
    readonly database: string;
    readonly group: string;
    readonly statement: Statement["kind"];
    /** Where it ran or was last tried. */
    readonly endpoint: string | undefined;
    /** Name of the caller's transaction that it belongs to. */
    readonly transaction: string | undefined;
    /** From its arrival to its answer. */
    readonly latencyMs: number;
    /** Part of the latency in which no endpoint could be chosen. */
    readonly waitedMs: number;
    readonly attempts: number;
    /** Number of the configuration in force. */
    readonly configuration: number;
}

/** What became of a request that was not answered with success. */
export const Failure = {
    /** It has not run, or nothing of it is kept. */
    Refused: "refused",
    /** It was sent and not answered. */
    Unknown: "unknown",
    /** An endpoint answered an error, or the request itself is at fault. */
    Failed: "failed",
} as const;
export type Failure = (typeof Failure)[keyof typeof Failure];

/** What a gateway reports of its decisions, for logs and metrics. */
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
        /** What decided it. */
        readonly cause: string;
        /** What was known of the endpoints then. */
        readonly condition: GroupCondition;
    }
    /** An attempt ended without an answer, and the request is tried again. */
    | {
        readonly kind: "retried";
        readonly requestId: string;
        readonly group: string;
        readonly endpoint: string;
        readonly cause: string;
        readonly attempt: number;
        /** Position that the endpoint's log had to have reached; undefined when it had to lead or nothing was demanded. */
        readonly required: LogPosition | undefined;
        /** Position that the endpoint named when it refused. */
        readonly reached: LogPosition | undefined;
    }
    /** A caller's open transaction was rolled back; its caller learns it at the next statement. */
    | {
        readonly kind: "aborted";
        readonly group: string;
        readonly endpoint: string | undefined;
        readonly transaction: string;
        /** The last request in it. */
        readonly requestId: string;
        readonly cause: string;
    }
    /** A caller's connection was closed here while a request was outstanding. */
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
    /** The endpoint answered as the leader of a term, which is news. */
    | {
        readonly kind: "primary";
        readonly group: string;
        readonly endpoint: string;
        readonly term: number;
        readonly former: string | undefined;
    }
    /** The endpoint that was taken for the primary answered that it does not lead. */
    | { readonly kind: "denied"; readonly group: string; readonly endpoint: string; readonly term: number; };

export type GatewayListener = (event: GatewayEvent) => void;
