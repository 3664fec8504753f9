import type { Answer } from "./answer.js";
import type { Statement } from "./statement.js";

/** A statement sent by a caller. */
export interface CallerRequest {
    /** Request id chosen by the caller; it is passed on to endpoints. */
    readonly id: string;
    readonly statement: Statement;
}

/** Connection to a caller, with the operations that the proxy uses. */
export interface Caller {
    readonly database: string;
    /** Sends the answer to the oldest unanswered request. */
    answer(answer: Answer): void;
    close(): void;
}

/** Receives the events of a caller's connection. */
export interface CallerHandler {
    request(request: CallerRequest): void;
    closed(): void;
}

/** Result of a caller's request to use a database. */
export type Acceptance =
    | { readonly kind: "accepted"; readonly handler: CallerHandler; }
    /** No configuration names the database. */
    | { readonly kind: "unknownDatabase"; }
    /** This process has not received the list of databases yet. */
    | { readonly kind: "unavailable"; };
