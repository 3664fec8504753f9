import { ErrorCode, failures } from "./failure.js";
import type { LocalResult } from "./local-answer.js";
import { TransactionStatus } from "./message-type.js";
import { commandComplete, errorResponse } from "./messages.js";
import { StatementKind } from "./ports.js";
import type { RequestPlan } from "./request-plan.js";

/**
 * A transaction that was rolled back without its caller's doing. The caller may have sent more statements that believe
 * to be in it: as in PostgreSQL after an error, they are refused until ROLLBACK or COMMIT ends the transaction.
 */
export class BrokenTransaction {
    #state: "none" | "untold" | "told" = "none";
    #reason = "";

    get active(): boolean {
        return this.#state !== "none";
    }

    /** @param told the caller already got the error. */
    begin(told: boolean, reason: string): void {
        this.#state = told ? "told" : "untold";
        this.#reason = reason;
    }

    /** The answer to the caller's next request, and the transaction status to report with it. */
    answer(plan: RequestPlan): { readonly local: LocalResult; readonly status: number; } {
        const ends = plan.kind === StatementKind.Commit || plan.kind === StatementKind.Rollback;
        const told = this.#state === "told";
        const status = ends ? TransactionStatus.Idle : TransactionStatus.Failed;
        this.#state = ends ? "none" : "told";
        if (ends && (told || plan.kind === StatementKind.Rollback)) {
            return { local: { columns: undefined, result: [commandComplete("ROLLBACK")], failed: false }, status };
        }
        const failure = told
            ? {
                code: ErrorCode.InFailedTransaction,
                text: "current transaction is aborted, commands ignored until end of transaction block",
            }
            : failures.rolledBack(this.#reason, status);
        const error = errorResponse(failure.code, failure.text);
        return { local: { columns: undefined, result: [error], failed: true }, status };
    }
}
