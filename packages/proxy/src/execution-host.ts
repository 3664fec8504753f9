import type { ConnectionCheckout } from "./connection-checkout.js";
import type { Failure } from "./failure.js";
import type { CallerConnection, SessionState } from "./ports.js";
import type { CallerStatements } from "./prepared-statements.js";

/** What an execution needs of its caller. */
export interface ExecutionHost {
    readonly caller: CallerConnection;
    readonly session: SessionState;
    readonly statements: CallerStatements;
    /** Session state of the caller is on its connection. */
    readonly pinned: boolean;
    /** The request has its answer. `lease` is what the caller had or got, when it is still usable. */
    completed(checkout: ConnectionCheckout | undefined, failure: Failure | undefined): void;
    callerFull(): void;
    endpointFull(full: boolean): void;
}
