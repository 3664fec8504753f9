/** Kind of a statement, which decides where and on which connection it runs. */
export const StatementKind = {
    Read: "read",
    Write: "write",
    Begin: "begin",
    Commit: "commit",
    Rollback: "rollback",
    /** Changes the session's settings. */
    SessionState: "sessionState",
    /** Leaves state on the connection that later statements rely on; the connection is pinned to the caller. */
    Pinned: "pinned",
    /** Cannot be pooled and is refused. */
    Refused: "refused",
    /** SET, RESET or SHOW of a `medlarledge.` setting, answered by the entry host. */
    ProxySetting: "own",
} as const;
export type StatementKind = (typeof StatementKind)[keyof typeof StatementKind];

/** Classification of the text of one simple query or one Parse message. */
export interface Classification {
    readonly kind: StatementKind;
    /** Number of statements in the text. */
    readonly statements: number;
    /** The connection is pinned to the caller until it disconnects or resets its session. */
    readonly pins: boolean;
    /** DISCARD ALL: afterwards the connection has no session state of the caller. */
    readonly resets: boolean;
    /** The transaction is declared READ ONLY and may run on a replica; only with `Begin`. */
    readonly readOnly: boolean;
    /** Reads session state of earlier statements (`currval`, `lastval`): must be refused outside a transaction. */
    readonly transactionOnly: boolean;
    /** Why the statement cannot be pooled; set with `Refused`. */
    readonly refusal: string | undefined;
    /** Decoded key-value pairs of sqlcommenter comments. */
    readonly comment: Readonly<Record<string, string>>;
    /** The setting of a `ProxySetting` statement. */
    readonly set: ProxySettingStatement | undefined;
}

/** Statement on a `medlarledge.` setting. */
export interface ProxySettingStatement {
    readonly action: "set" | "reset" | "show";
    readonly name: string;
    /** Empty for RESET and SHOW. */
    readonly value: string;
}
