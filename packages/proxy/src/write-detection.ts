import { StatementKind } from "./ports.js";
import type { RequestPlan } from "./request-plan.js";

/** Statement kinds whose success outside a transaction acknowledges a write. */
const ACKNOWLEDGED_KINDS = new Set<StatementKind>([StatementKind.Write, StatementKind.Commit, StatementKind.Pinned]);

const COMMIT_TAG = Buffer.from("COMMIT");
const HEADER_BYTES = 5;

export function acknowledgesWrite(plan: RequestPlan): boolean {
    return plan.executes && ACKNOWLEDGED_KINDS.has(plan.kind);
}

/** Whether a position query is sent after the request in the same packet. */
export function needsTrailingQuery(plan: RequestPlan, inTransaction: boolean): boolean {
    if (!plan.allowsTrailingQuery || !plan.executes) {
        return false;
    }
    return plan.kind === StatementKind.Commit
        || (!inTransaction && (plan.kind === StatementKind.Read || ACKNOWLEDGED_KINDS.has(plan.kind)));
}

/** Whether a CommandComplete message has the tag COMMIT. */
export function isCommitTag(commandComplete: Uint8Array): boolean {
    return COMMIT_TAG.every((byte, index) => commandComplete[HEADER_BYTES + index] === byte);
}
