import type { ErrorCode } from "@medlarledge/statements";
import type { Reach } from "./endpoint-reach.js";

/** What a gateway reports of its decisions, for logs and metrics. */
export type GatewayEvent =
    /** A request was answered; `latencyMs` counts from its arrival. */
    | {
        readonly kind: "served";
        readonly requestId: string;
        readonly database: string;
        readonly endpoint: string | undefined;
        readonly onPrimary: boolean;
        readonly latencyMs: number;
        readonly attempts: number;
    }
    /** A request was answered with an error; `cause` says what decided it. */
    | {
        readonly kind: "refused";
        readonly requestId: string;
        readonly database: string;
        readonly group: string | undefined;
        readonly endpoint: string | undefined;
        readonly code: ErrorCode;
        readonly cause: string;
        readonly latencyMs: number;
        readonly attempts: number;
        readonly configuration: number;
    }
    /** An attempt ended without an answer, and the request is tried again. */
    | {
        readonly kind: "retried";
        readonly requestId: string;
        readonly group: string;
        readonly endpoint: string;
        readonly cause: string;
        readonly attempt: number;
    }
    | { readonly kind: "reach"; readonly group: string; readonly endpoint: string; readonly reach: Reach; }
    /** The endpoint answered as the leader of a term, which is news. */
    | { readonly kind: "primary"; readonly group: string; readonly endpoint: string; readonly term: number; };

export type GatewayListener = (event: GatewayEvent) => void;
