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
    /** Key that the caller presented; undefined when it presented none. It must not be logged or passed on. */
    readonly key: string | undefined;
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
    /** The key is missing, unknown or revoked. */
    | { readonly kind: "notAuthorized"; }
    /** This process has not received the list of databases yet. */
    | { readonly kind: "unavailable"; };
