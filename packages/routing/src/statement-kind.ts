/** What a statement needs of the connection that it runs on. */
export const StatementKind = {
    Read: "read",
    Write: "write",
    Begin: "begin",
    Commit: "commit",
    Rollback: "rollback",
    /** Changes the session's settings. */
    SessionState: "sessionState",
    /** Leaves something on the connection that later statements rely on. */
    Pinned: "pinned",
    Refused: "refused",
    /** SET, RESET or SHOW of a `medlarledge.` setting, answered by the entry host. */
    ProxySetting: "own",
} as const;
export type StatementKind = (typeof StatementKind)[keyof typeof StatementKind];

/** What the text of one simple query or one Parse message asks for. */
export interface Classification {
    readonly kind: StatementKind;
    /** Number of statements in the text. */
    readonly statements: number;
    /** The caller needs its own connection until it disconnects or resets. */
    readonly pins: boolean;
    /** DISCARD ALL: afterwards nothing of the caller is left on the connection. */
    readonly resets: boolean;
    /** A transaction that states READ ONLY and may run on a replica; only with `Begin`. */
    readonly readOnly: boolean;
    /** Reads what the same session left before (`currval`, `lastval`): to be refused outside a transaction. */
    readonly transactionOnly: boolean;
    /** Why it cannot be pooled; set with `Refused`. */
    readonly refusal: string | undefined;
    /** Pairs of a sqlcommenter comment, decoded. */
    readonly comment: Readonly<Record<string, string>>;
    /** The setting that an `Own` statement names. */
    readonly set: ProxySetting | undefined;
}

export interface ProxySetting {
    readonly action: "set" | "reset" | "show";
    readonly name: string;
    /** Empty for RESET and SHOW. */
    readonly value: string;
}
