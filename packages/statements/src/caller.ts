import type { Answer } from "./answer.js";
import type { Statement } from "./statement.js";

export interface CallerRequest {
    /** The caller's own id of the request; endpoints see it too. */
    readonly id: string;
    readonly statement: Statement;
}

/** A caller's connection, as the proxy sees it. */
export interface Caller {
    readonly database: string;
    /** Answers the oldest request that has no answer yet. */
    answer(answer: Answer): void;
    close(): void;
}

/** The proxy's side of a caller's connection. */
export interface CallerHandler {
    request(request: CallerRequest): void;
    closed(): void;
}

/** What becomes of a caller that names a database. */
export type Acceptance =
    | { readonly kind: "accepted"; readonly handler: CallerHandler; }
    /** No configuration names the database. */
    | { readonly kind: "unknownDatabase"; }
    /** This process cannot tell yet which databases there are. */
    | { readonly kind: "unavailable"; };
