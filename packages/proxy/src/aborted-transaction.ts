import type { LocalResult } from "./local-response.js";
import { TransactionStatus } from "./message-type.js";
import { commandComplete, errorResponse } from "./messages.js";
import { StatementKind } from "./ports.js";
import { ErrorCode, failures } from "./request-failure.js";
import type { RequestPlan } from "./request-plan.js";

/**
 * A transaction that was rolled back by the proxy or by the loss of its connection. The caller may have pipelined
 * further statements of it: as in PostgreSQL after an error, they are refused until ROLLBACK or COMMIT ends the
 * transaction.
 */
export class AbortedTransaction {
    #state: "none" | "unreported" | "reported" = "none";
    #reason = "";

    get active(): boolean {
        return this.#state !== "none";
    }

    /** @param isReported whether the caller already received the error. */
    begin(isReported: boolean, reason: string): void {
        this.#state = isReported ? "reported" : "unreported";
        this.#reason = reason;
    }

    /** Returns the response to the caller's next request and the transaction status to report with it. */
    answer(plan: RequestPlan): { readonly local: LocalResult; readonly status: number; } {
        const endsTransaction = plan.kind === StatementKind.Commit || plan.kind === StatementKind.Rollback;
        const isReported = this.#state === "reported";
        const status = endsTransaction ? TransactionStatus.Idle : TransactionStatus.Failed;
        this.#state = endsTransaction ? "none" : "reported";
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
