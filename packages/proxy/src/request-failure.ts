import { TransactionStatus } from "./message-type.js";
import { Outcome, StatementKind } from "./ports.js";
import type { RequestPlan } from "./request-plan.js";

/** Codes of the answers that the proxy gives itself. */
export const ErrorCode = {
    NotRun: "ML001",
    OutcomeUnknown: "ML002",
    StateLost: "ML003",
    CannotBePooled: "ML004",
    TokenRefused: "ML005",
    /** A transaction was rolled back as a whole before COMMIT was sent: PostgreSQL's code for "run it again". */
    RolledBack: "40001",
    /** PostgreSQL's code for statements after an error in a transaction. */
    InFailedTransaction: "25P02",
    AdminShutdown: "57P01",
    ConnectionFailure: "08006",
} as const;

/** How a request ended without a complete answer from an endpoint. */
export interface RequestFailure {
    readonly code: string;
    readonly text: string;
    readonly outcome: Outcome;
    /** Transaction status that the caller is told. */
    readonly status: number;
}

function notRun(text: string, plan: RequestPlan | undefined): RequestFailure {
    return {
        code: ErrorCode.NotRun,
        text: `not run: ${text}`,
        outcome: Outcome.NotRun,
        // Statements sent behind a BEGIN that did not run must not run outside a transaction.
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

/** A request was sent and its answer will not come. */
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
    // The caller may still believe to be in its transaction: its next statements must not run outside of it.
    return plan.mayCommit
        ? { ...unknown(text), status: TransactionStatus.Failed }
        : rolledBack(text, TransactionStatus.Failed);
}

/** Failures by how a request ended. */
export const failures = { notRun, stateLost, cannotBePooled, unknown, rolledBack, interrupted };

/** The reason of a failure without its outcome and its details, for counting. */
export function causeOf(failure: RequestFailure): string {
    const [, reason] = failure.text.split(": ", 2);
    return reason ?? failure.text;
}
