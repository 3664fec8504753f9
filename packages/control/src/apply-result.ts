import type { ChangeResult, Term } from "@medlarledge/protocol";

/** Why a command changed nothing. */
export const Refusal = {
    /** The sequence is not newer than the one known. */
    Stale: "stale",
    /** The current primary holds this id with another system identifier; it is marked left by the same command. */
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
    /** Start position or timeline is no non-negative integer. */
    StartUnknown: "startUnknown",
} as const;
export type Refusal = (typeof Refusal)[keyof typeof Refusal];

interface Refused {
    readonly outcome: "refused";
    readonly reason: Refusal;
}

interface Done {
    /** `unchanged`: the command repeats what already holds. */
    readonly outcome: "accepted" | "unchanged";
}

/** What applying one command did; `kind` is that of the command. */
export type ApplyResult =
    | { readonly kind: "registerHost"; } & Done
    | { readonly kind: "removeHost"; } & (Done | Refused)
    /** `replaced`: ids of endpoints marked left because their address or id now has another system identifier. */
    | { readonly kind: "announceEndpoint"; readonly replaced: readonly string[]; } & (Done | Refused)
    | { readonly kind: "endpointLeaves"; } & (Done | Refused)
    | { readonly kind: "endpointLeft"; } & (Done | Refused)
    | { readonly kind: "beginTerm"; readonly current: Term; } & (Done | Refused)
    | { readonly kind: "startTerm"; readonly current: Term; } & (Done | Refused)
    | { readonly kind: "changeConfiguration"; readonly result: ChangeResult; }
    | { readonly kind: "openLeadership"; };

/** One line of the history that operators read. */
export interface HistoryEntry {
    readonly kind: "term" | "configuration";
    /** Wall-clock time in ms. */
    readonly at: number;
    readonly who: string;
    readonly what: string;
    readonly why: string;
}
