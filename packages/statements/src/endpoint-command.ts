import type { Answer } from "./answer.js";
import type { LogPosition } from "./log-position.js";
import type { ForwardedStatement } from "./statement.js";

/** One message to an endpoint. Commands without a request id come from the proxy itself and change no data. */
export type EndpointCommand =
    | {
        readonly kind: "statement";
        readonly requestId: string;
        readonly statement: ForwardedStatement;
        /** The endpoint refuses the statement as lagging unless its log has reached this position. Only for reads. */
        readonly after: LogPosition | undefined;
    }
    /** A transaction that is not read-only is refused, at its begin and later, unless the endpoint is the primary. */
    | { readonly kind: "begin"; readonly readOnly: boolean; readonly after: LogPosition | undefined; }
    | { readonly kind: "rollback"; }
    /** Discards the connection's session values and prepared statements. */
    | { readonly kind: "reset"; }
    | { readonly kind: "set"; readonly name: string; readonly value: string; }
    | { readonly kind: "prepare"; readonly name: string; readonly writes: boolean; readonly shape: string; }
    /** Queries role, term and position; the answer holds an `EndpointStatus`. */
    | { readonly kind: "status"; };

/** Status that an endpoint reports about itself. */
export interface EndpointStatus {
    /** Whether the endpoint is the primary of its group. */
    readonly leads: boolean;
    readonly term: number;
    /** The newest position received, whether or not it is applied. */
    readonly received: LogPosition;
}

/** An endpoint's answer to one command. */
export interface CommandAnswer extends Answer {
    readonly status: EndpointStatus | undefined;
}
