import type { ErrorCode } from "./error-code.js";
import type { LogPosition } from "./log-position.js";

/** Transaction state of a session after an answer. */
export const TransactionStates = {
    Idle: "idle",
    Open: "open",
    /** A statement of the transaction failed; only a commit or rollback is accepted. */
    Failed: "failed",
} as const;
export type TransactionState = (typeof TransactionStates)[keyof typeof TransactionStates];

/** How an answer ends. */
export type Completion =
    /** `signature` proves which endpoint ran the statement; undefined when this proxy answered itself. */
    | { readonly kind: "done"; readonly signature: string | undefined; }
    | { readonly kind: "error"; readonly code: ErrorCode; readonly text: string; };

/** The complete answer to one request. */
export interface Answer {
    readonly rows: readonly string[];
    readonly completion: Completion;
    readonly state: TransactionState;
    readonly position: LogPosition | undefined;
}

/** Creates an answer without rows that reports an error. */
export function errorAnswer(code: ErrorCode, text: string, state: TransactionState): Answer {
    return { rows: [], completion: { kind: "error", code, text }, state, position: undefined };
}
