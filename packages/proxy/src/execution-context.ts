import type { ConnectionCheckout } from "./connection-checkout.js";
import type { CallerConnection, SessionState } from "./ports.js";
import type { CallerStatements } from "./prepared-statements.js";
import type { RequestFailure } from "./request-failure.js";

/** What an execution needs of its caller. */
export interface ExecutionContext {
    readonly caller: CallerConnection;
    readonly session: SessionState;
    readonly statements: CallerStatements;
    /** Session state of the caller is on its connection. */
    readonly pinned: boolean;
    /** The request has its answer. `lease` is what the caller had or got, when it is still usable. */
    requestCompleted(checkout: ConnectionCheckout | undefined, failure: RequestFailure | undefined): void;
    callerBufferFull(): void;
    setEndpointBufferFull(full: boolean): void;
}
