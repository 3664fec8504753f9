import type { LocalResult } from "./local-response.js";
import { TransactionStatus } from "./message-type.js";
import { commandComplete, errorResponse } from "./messages.js";
import { StatementKind } from "./ports.js";
import { ErrorCode, failures } from "./request-failure.js";
import type { RequestPlan } from "./request-plan.js";

/**
 * A transaction that was rolled back without its caller's doing. The caller may have sent more statements that believe
 * to be in it: as in PostgreSQL after an error, they are refused until ROLLBACK or COMMIT ends the transaction.
 */
export class AbortedTransaction {
    #state: "none" | "untold" | "told" = "none";
    #reason = "";

    get active(): boolean {
        return this.#state !== "none";
    }

    /** @param isReported the caller already got the error. */
    begin(isReported: boolean, reason: string): void {
        this.#state = isReported ? "told" : "untold";
        this.#reason = reason;
    }

    /** The answer to the caller's next request, and the transaction status to report with it. */
    answer(plan: RequestPlan): { readonly local: LocalResult; readonly status: number; } {
        const endsTransaction = plan.kind === StatementKind.Commit || plan.kind === StatementKind.Rollback;
        const isReported = this.#state === "told";
        const status = endsTransaction ? TransactionStatus.Idle : TransactionStatus.Failed;
        this.#state = endsTransaction ? "none" : "told";
        if (endsTransaction && (isReported || plan.kind === StatementKind.Rollback)) {
            return { local: { columns: undefined, result: [commandComplete("ROLLBACK")], failed: false }, status };
        }
        const failure = isReported
            ? {
                code: ErrorCode.InFailedTransaction,
                text: "current transaction is aborted, commands ignored until end of transaction block",
            }
            : failures.rolledBack(this.#reason, status);
        const error = errorResponse(failure.code, failure.text);
        return { local: { columns: undefined, result: [error], failed: true }, status };
    }
}
