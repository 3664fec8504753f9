import { StatementKind } from "./statement-kind.js";
import { mergeFacts, type StatementFacts } from "./statement-rules.js";

const READ: StatementFacts = { kind: StatementKind.Read };

const TRANSACTION_CONTROL_KINDS: ReadonlySet<StatementKind> = new Set([
    StatementKind.Begin,
    StatementKind.Commit,
    StatementKind.Rollback,
]);

/**
 * Merges the classifications of the statements of one text. Text that leaves a transaction open is a `Begin`; text that
 * ends the caller's transaction is a `Commit` or `Rollback`; text with both BEGIN and its end is a write, because the
 * primary can run any statement and no transaction is open afterwards.
 */
export function mergeStatements(statements: readonly StatementFacts[]): StatementFacts {
    const joined = statements.reduce(mergeFacts, READ);
    if (joined.kind === StatementKind.Refused || statements.length < 2) {
        return joined;
    }
    if (statements.some(facts => facts.kind === StatementKind.ProxySetting)) {
        return {
            kind: StatementKind.Refused,
            refusal: "a medlarledge. setting must be the only statement of its text",
        };
    }
    const controls = statements.filter(facts => TRANSACTION_CONTROL_KINDS.has(facts.kind));
    return controls.length === 0 ? joined : mergeTransactionControl(statements, controls, joined);
}

function mergeTransactionControl(
    statements: readonly StatementFacts[],
    controls: readonly StatementFacts[],
    joined: StatementFacts,
): StatementFacts {
    const remaining = statements.filter(facts => !TRANSACTION_CONTROL_KINDS.has(facts.kind));
    const flags = { pins: joined.pins, transactionOnly: joined.transactionOnly };
    const first = controls[0]?.kind;
    const last = controls.at(-1)?.kind;
    if (first !== StatementKind.Begin) {
        const commits = controls.some(facts => facts.kind === StatementKind.Commit);
        return { kind: commits ? StatementKind.Commit : StatementKind.Rollback, ...flags };
    }
    if (last === StatementKind.Begin) {
        const readOnly = controls.length === 1 && controls[0]?.readOnly === true
            && remaining.every(facts => facts.kind === StatementKind.Read);
        return { kind: StatementKind.Begin, ...flags, readOnly };
    }
    return { ...remaining.reduce(mergeFacts, { kind: StatementKind.Write }), ...flags, transactionOnly: false };
}
