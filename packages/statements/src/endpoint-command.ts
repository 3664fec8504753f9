import type { Answer } from "./answer.js";
import type { LogPosition } from "./log-position.js";
import type { ForwardedStatement } from "./statement.js";

/** One message to an endpoint. Those without a request id are the proxy's own and change no data. */
export type EndpointCommand =
    | {
        readonly kind: "statement";
        readonly requestId: string;
        readonly statement: ForwardedStatement;
        /** Refused as lagging unless the endpoint's log holds this position. Only before reads. */
        readonly after: LogPosition | undefined;
    }
    /** A transaction that is not read-only is refused by an endpoint that does not lead, at its begin and later. */
    | { readonly kind: "begin"; readonly readOnly: boolean; readonly after: LogPosition | undefined; }
    | { readonly kind: "rollback"; }
    /** Clears the connection's values and prepared statements. */
    | { readonly kind: "reset"; }
    | { readonly kind: "set"; readonly name: string; readonly value: string; }
    | { readonly kind: "prepare"; readonly name: string; readonly writes: boolean; readonly shape: string; }
    /** Asks for role, term and position; answered by a row that `EndpointStatus` describes. */
    | { readonly kind: "status"; };

/** What an endpoint tells about itself. */
export interface EndpointStatus {
    readonly leads: boolean;
    readonly term: number;
    /** The newest position received, whether or not it is applied. */
    readonly received: LogPosition;
}

/** An endpoint's answer to one command. */
export interface CommandAnswer extends Answer {
    readonly status: EndpointStatus | undefined;
}
