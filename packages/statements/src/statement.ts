/** A caller's statement, parsed only as far as routing and session state need it; texts are passed on unchanged. */
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
    /** Cannot be parsed; `reason` is shown to the caller. */
    | { readonly kind: "malformed"; readonly reason: string; };

/** Statements that are forwarded to an endpoint with the caller's request id and text. */
export type ForwardedStatement =
    | { readonly kind: "read" | "write"; readonly text: string; }
    /** `name` is the name of the caller's prepared statement on the endpoint connection. */
    | { readonly kind: "execute"; readonly name: string; readonly parameters: string; readonly writes: boolean; }
    | { readonly kind: "commit"; };
