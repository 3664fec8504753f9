/** What a caller asks for. Texts are passed on unread; only what decides about routing and sessions is told apart. */
export type Statement =
    | { readonly kind: "begin"; readonly readOnly: boolean; }
    | { readonly kind: "commit"; }
    | { readonly kind: "rollback"; }
    | { readonly kind: "read"; readonly text: string; }
    | { readonly kind: "write"; readonly text: string; }
    | { readonly kind: "set"; readonly name: string; readonly value: string; }
    | { readonly kind: "prepare"; readonly name: string; readonly writes: boolean; readonly shape: string; }
    | { readonly kind: "execute"; readonly name: string; readonly parameters: string; }
    | { readonly kind: "deallocate"; readonly name: string; }
    /** Cannot be understood; `reason` is for the caller. */
    | { readonly kind: "malformed"; readonly reason: string; };

/** Statements that run on an endpoint, under the caller's request id and with the caller's text. */
export type ForwardedStatement =
    | { readonly kind: "read" | "write"; readonly text: string; }
    /** `name` is the one that the connection knows the caller's prepared statement by. */
    | { readonly kind: "execute"; readonly name: string; readonly parameters: string; readonly writes: boolean; }
    | { readonly kind: "commit"; };
