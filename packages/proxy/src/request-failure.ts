import { TransactionStatus } from "./message-type.js";
import { Outcome, StatementKind } from "./ports.js";
import type { RequestPlan } from "./request-plan.js";

/** SQLSTATEs of errors that the proxy itself sends. */
export const ErrorCode = {
    NotRun: "ML001",
    OutcomeUnknown: "ML002",
    StateLost: "ML003",
    CannotBePooled: "ML004",
    TokenRefused: "ML005",
    /** A transaction was rolled back as a whole before COMMIT was sent: serialization_failure, safe to run again. */
    RolledBack: "40001",
    /** PostgreSQL's code for statements after an error in a transaction. */
    InFailedTransaction: "25P02",
    AdminShutdown: "57P01",
    ConnectionFailure: "08006",
} as const;

/** How a request ended without a complete response from an endpoint. */
export interface RequestFailure {
    readonly code: string;
    readonly text: string;
    readonly outcome: Outcome;
    /** Transaction status to report to the caller. */
    readonly status: number;
}

function notRun(text: string, plan: RequestPlan | undefined): RequestFailure {
    return {
        code: ErrorCode.NotRun,
        text: `not run: ${text}`,
        outcome: Outcome.NotRun,
        // Statements pipelined after a BEGIN that did not run must not run outside a transaction.
        status: plan?.kind === StatementKind.Begin ? TransactionStatus.Failed : TransactionStatus.Idle,
    };
}

function stateLost(plan: RequestPlan | undefined): RequestFailure {
    return {
        ...notRun("", plan),
        code: ErrorCode.StateLost,
        text: "not run: writes that the session had seen were lost in a failover",
    };
}

function cannotBePooled(text: string): RequestFailure {
    return { ...notRun(text, undefined), code: ErrorCode.CannotBePooled };
}

function unknown(text: string): RequestFailure {
    return {
        code: ErrorCode.OutcomeUnknown,
        text: `outcome unknown: ${text}`,
        outcome: Outcome.Unknown,
        status: TransactionStatus.Idle,
    };
}

function rolledBack(text: string, status: number): RequestFailure {
    return {
        code: ErrorCode.RolledBack,
        text: `transaction rolled back, not committed: ${text}`,
        outcome: Outcome.NotRun,
        status,
    };
}

/** A request was sent but its response will not arrive. */
function interrupted(text: string, plan: RequestPlan, inTransaction: boolean, hasCommitted: boolean): RequestFailure {
    if (plan.kind === StatementKind.Begin && !hasCommitted && !plan.mayCommit) {
        return rolledBack(text, TransactionStatus.Failed);
    }
    if (!inTransaction) {
        return unknown(text);
    }
    if (plan.kind === StatementKind.Commit || hasCommitted) {
        return unknown(text);
    }
    if (plan.kind === StatementKind.Rollback) {
        return rolledBack(text, TransactionStatus.Idle);
    }
    // The caller may have pipelined further statements of the transaction; they must not run outside of it.
    return plan.mayCommit
        ? { ...unknown(text), status: TransactionStatus.Failed }
        : rolledBack(text, TransactionStatus.Failed);
}

/** Constructors of failures, by how the request ended. */
export const failures = { notRun, stateLost, cannotBePooled, unknown, rolledBack, interrupted };

/** Returns the reason of a failure without its outcome and details, for metrics. */
export function causeOf(failure: RequestFailure): string {
    const [, reason] = failure.text.split(": ", 2);
    return reason ?? failure.text;
}
