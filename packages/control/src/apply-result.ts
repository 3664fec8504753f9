import type { ChangeResult, Term } from "@medlarledge/protocol";

/** Reason for which a command was refused. */
export const Refusal = {
    /** The sequence is not newer than the stored one. */
    Stale: "stale",
    /** The current primary has this id with another system identifier. The same command marks that primary as left. */
    IdInUse: "idInUse",
    UnknownDatabase: "unknownDatabase",
    UnknownEndpoint: "unknownEndpoint",
    UnknownHost: "unknownHost",
    /** The system identifier is not the one registered under this id. */
    OtherSystemIdentifier: "otherSystemIdentifier",
    /** The term is not one above the current one. */
    TermNotNext: "termNotNext",
    /** The term is not the current one. */
    TermNotCurrent: "termNotCurrent",
    /** The term started at another position. */
    TermStarted: "termStarted",
    /** Start position or timeline is not a non-negative integer. */
    StartUnknown: "startUnknown",
} as const;
export type Refusal = (typeof Refusal)[keyof typeof Refusal];

interface Refused {
    readonly outcome: "refused";
    readonly reason: Refusal;
}

interface Done {
    /** `unchanged`: the state already reflects the command. */
    readonly outcome: "accepted" | "unchanged";
}

/** Result of applying one command; `kind` is that of the command. */
export type ApplyResult =
    | { readonly kind: "registerHost"; } & Done
    | { readonly kind: "removeHost"; } & (Done | Refused)
    /** `replaced`: ids of endpoints marked left because their address or id now has another system identifier. */
    | { readonly kind: "announceEndpoint"; readonly replaced: readonly string[]; } & (Done | Refused)
    | { readonly kind: "endpointLeaves"; } & (Done | Refused)
    | { readonly kind: "endpointLeft"; } & (Done | Refused)
    | { readonly kind: "beginTerm"; readonly current: Term; } & (Done | Refused)
    | { readonly kind: "startTerm"; readonly current: Term; } & (Done | Refused)
    | { readonly kind: "orderPromotion"; } & Done
    | { readonly kind: "changeConfiguration"; readonly result: ChangeResult; }
    | { readonly kind: "openLeadership"; };

/** One entry of the history shown to operators. */
export interface HistoryEntry {
    readonly kind: "term" | "configuration";
    /** Wall-clock time in ms. */
    readonly at: number;
    readonly who: string;
    readonly what: string;
    readonly why: string;
}
