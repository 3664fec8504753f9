import type { Answer } from "./answer.js";
import type { LogPosition } from "./log-position.js";

/** How the transaction around an ordered statement begins. */
export type TransactionContext =
    /** The statement runs on its own. A read is refused as lagging unless the log holds `after`. */
    | { readonly kind: "bare"; readonly after: LogPosition | undefined; }
    /** A read that only the group's leader may answer: it runs inside a transaction of the proxy that is rolled back. */
    | { readonly kind: "proven"; }
    /** First statement of the caller's transaction. */
    | { readonly kind: "transaction"; readonly readOnly: boolean; readonly after: LogPosition | undefined; }
    /** A later statement of the caller's transaction. */
    | { readonly kind: "continued"; };

/** A statement as ordered, with what its connection has to know already resolved. */
export type OrderedStatement =
    | { readonly kind: "read" | "write"; readonly text: string; }
    | { readonly kind: "execute"; readonly writes: boolean; readonly shape: string; readonly parameters: string; }
    | { readonly kind: "commit"; };

/** One statement to run on one endpoint, complete enough to be run by any process that holds a connection there. */
export interface StatementOrder {
    readonly group: string;
    readonly endpoint: string;
    readonly requestId: string;
    readonly statement: OrderedStatement;
    readonly opening: TransactionContext;
    /** Names the caller's transaction among all processes; undefined outside one. */
    readonly transaction: string | undefined;
    /** Session values that the connection must have. */
    readonly values: readonly (readonly [name: string, value: string])[];
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Longest wait for a connection, in ms. */
    readonly patienceMs: number;
    /** Time after which an answer is no longer waited for, in ms. */
    readonly timeoutMs: number;
}

/** Why an ordered statement did not run. */
export const NotRunReason = {
    Busy: "busy",
    Lagging: "lagging",
    /** The endpoint does not lead its group. */
    NotPrimary: "follows",
    Misrouted: "misrouted",
    /** No connection became free in time. */
    NoConnection: "noConnection",
    Unreachable: "unreachable",
    /** The connection of the caller's transaction is gone, and the transaction with it. */
    TransactionLost: "transactionLost",
} as const;
export type NotRunReason = (typeof NotRunReason)[keyof typeof NotRunReason];

/** Why it is not known whether an ordered statement ran. */
export const UnknownReason = {
    ConnectionLost: "connectionLost",
    /** The endpoint answered a later command instead. */
    AnswerLost: "answerLost",
    Timeout: "timeout",
    /** No answer came in several times the usual time; a read is tried again then. */
    Overdue: "overdue",
    /** The process that ran it is gone. */
    RelayLost: "relayLost",
} as const;
export type UnknownReason = (typeof UnknownReason)[keyof typeof UnknownReason];

export type StatementOrderResult =
    | {
        readonly kind: "answered";
        readonly answer: Answer;
        /** The endpoint led its group when it took the statement, so its position then covers all commits before. */
        readonly led: boolean;
    }
    | { readonly kind: "notRun"; readonly reason: NotRunReason; readonly position: LogPosition | undefined; }
    | { readonly kind: "unknown"; readonly reason: UnknownReason; };
