import type { ConnectionCheckout } from "./connection-checkout.js";
import type { CallerConnection, SessionState } from "./ports.js";
import type { CallerStatements } from "./prepared-statements.js";
import type { RequestFailure } from "./request-failure.js";

/** The caller session as seen by the request executor. */
export interface ExecutionContext {
    readonly caller: CallerConnection;
    readonly session: SessionState;
    readonly statements: CallerStatements;
    /** The caller's reserved connection carries session state. */
    readonly pinned: boolean;
    /** The response was sent. `checkout` is the request's connection, undefined when it was returned or lost. */
    requestCompleted(checkout: ConnectionCheckout | undefined, failure: RequestFailure | undefined): void;
    callerBufferFull(): void;
    setEndpointBufferFull(full: boolean): void;
}
