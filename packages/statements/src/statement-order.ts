import type { Answer } from "./answer.js";
import type { LogPosition } from "./log-position.js";

/** How an ordered statement relates to a transaction. */
export type TransactionContext =
    /** The statement runs on its own. A read is refused as lagging unless the log holds `after`. */
    | { readonly kind: "bare"; readonly after: LogPosition | undefined; }
    /** A read that only the group's primary may answer: it runs in a transaction of the proxy that is rolled back. */
    | { readonly kind: "proven"; }
    /** First statement of the caller's transaction. */
    | { readonly kind: "transaction"; readonly readOnly: boolean; readonly after: LogPosition | undefined; }
    /** A later statement of the caller's transaction. */
    | { readonly kind: "continued"; };

/** The statement of an order, with prepared statements already resolved, so that any connection can run it. */
export type OrderedStatement =
    | { readonly kind: "read" | "write"; readonly text: string; }
    | { readonly kind: "execute"; readonly writes: boolean; readonly shape: string; readonly parameters: string; }
    /** `wrote` tells whether the transaction changed data. */
    | { readonly kind: "commit"; readonly wrote: boolean; };

/** Order to run one statement on one endpoint; any process with a connection to the endpoint can execute it. */
export interface StatementOrder {
    readonly group: string;
    readonly endpoint: string;
    readonly requestId: string;
    /** Id of the caller's session, unique among all processes; a session runs one order at a time. */
    readonly session: string;
    readonly statement: OrderedStatement;
    readonly opening: TransactionContext;
    /** Id of the caller's transaction, unique among all processes; undefined outside a transaction. */
    readonly transaction: string | undefined;
    /** Session values that the connection must have. */
    readonly values: readonly (readonly [name: string, value: string])[];
    /** Customer in whose name the statement runs; undefined where the deployment has none or the route is public. */
    readonly customer: string | undefined;
    /** Part of scarce room of the customer relative to others; undefined without a customer. */
    readonly weight: number | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Time until the caller wants the answer, in ms; undefined without a customer or a target. */
    readonly targetMs: number | undefined;
    /** Maximum wait for a connection, in ms. */
    readonly patienceMs: number;
    /** Time after which the order is given up, in ms. */
    readonly timeoutMs: number;
}

/** Why an ordered statement did not run. */
export const NotRunReason = {
    Busy: "busy",
    Lagging: "lagging",
    /** The endpoint is not the primary of its group. */
    NotPrimary: "follows",
    Misrouted: "misrouted",
    /** No connection became free in time. */
    NoConnection: "noConnection",
    Unreachable: "unreachable",
    /** The endpoint has been leaving for too long to get new work. */
    Leaving: "leaving",
    /** The process with the connection may not use the endpoint as the primary now. */
    NoLease: "noLease",
    /** The connection of the caller's transaction was lost, which ended the transaction. */
    TransactionLost: "transactionLost",
} as const;
export type NotRunReason = (typeof NotRunReason)[keyof typeof NotRunReason];

/** Why the outcome of an ordered statement is unknown. */
export const UnknownReason = {
    ConnectionLost: "connectionLost",
    /** The endpoint answered a later command, but not this one. */
    AnswerLost: "answerLost",
    Timeout: "timeout",
    /** The statement ran, but the endpoint had refused the session values or the prepared statement for it. */
    SetUpRefused: "setUpRefused",
    /** No answer arrived within several times the average duration; a read is retried then. */
    Overdue: "overdue",
    /** The process that ran the statement stopped or was disconnected. */
    RelayLost: "relayLost",
    /** The endpoint answered, but another one may have been promoted by then, which discards the change. */
    Superseded: "superseded",
} as const;
export type UnknownReason = (typeof UnknownReason)[keyof typeof UnknownReason];

export type StatementOrderResult =
    | {
        readonly kind: "answered";
        readonly answer: Answer;
        /** Whether the endpoint was the primary on receiving the statement: its position covers all commits before. */
        readonly led: boolean;
    }
    | { readonly kind: "notRun"; readonly reason: NotRunReason; readonly position: LogPosition | undefined; }
    | { readonly kind: "unknown"; readonly reason: UnknownReason; };
