import { StatementKind } from "./ports.js";
import type { RequestPlan } from "./request-plan.js";

/** Kinds whose success outside a transaction is the acknowledgement of a write. */
const ACKNOWLEDGING = new Set<StatementKind>([StatementKind.Write, StatementKind.Commit, StatementKind.Pinned]);

const COMMIT_TAG = Buffer.from("COMMIT");
const HEADER_BYTES = 5;

export function acknowledges(plan: RequestPlan): boolean {
    return plan.executes && ACKNOWLEDGING.has(plan.kind);
}

/** Whether the position query goes behind the request in the same packet. */
export function wantsTail(plan: RequestPlan, inTransaction: boolean): boolean {
    if (!plan.tail || !plan.executes) {
        return false;
    }
    return plan.kind === StatementKind.Commit
        || (!inTransaction && (plan.kind === StatementKind.Read || ACKNOWLEDGING.has(plan.kind)));
}

/** Whether a CommandComplete is that of COMMIT. */
export function isCommit(commandComplete: Uint8Array): boolean {
    return COMMIT_TAG.every((byte, index) => commandComplete[HEADER_BYTES + index] === byte);
}
