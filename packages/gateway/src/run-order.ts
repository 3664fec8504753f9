import {
    type Answer,
    type EndpointCommand,
    ErrorCode,
    type ForwardedStatement,
    guaranteesNoEffect,
    NotRunReason,
    type OrderedStatement,
    type StatementOrder,
    type StatementOrderResult,
    type TransactionContext,
    TransactionStates,
    UnknownReason,
} from "@medlarledge/statements";
import type { PooledConnection, Reply } from "./pooled-connection.js";

const NOT_RUN_REASONS: Partial<Record<ErrorCode, NotRunReason>> = {
    [ErrorCode.Busy]: NotRunReason.Busy,
    [ErrorCode.Lagging]: NotRunReason.Lagging,
    [ErrorCode.ReadOnly]: NotRunReason.NotPrimary,
    [ErrorCode.Misrouted]: NotRunReason.Misrouted,
    [ErrorCode.TooManyConnections]: NotRunReason.NoConnection,
};

/** Runs one order on a connection that is not otherwise in use. Answers may still be outstanding on it afterwards. */
export async function runOrder(connection: PooledConnection, order: StatementOrder): Promise<StatementOrderResult> {
    const { before, statement } = connection.prepare(order);
    const forwarded = { kind: "statement", requestId: order.requestId, statement } as const;
    const { opening } = order;
    const isBegun = opening.kind === "transaction" || opening.kind === "proven";
    const after = opening.kind === "bare" ? opening.after : undefined;
    if (!isBegun) {
        // The statement does not wait for its set-up, which would cost a round trip on one of few connections.
        const { failure, reply } = await connection.sendBehind(before, { ...forwarded, after });
        const result = resultOf(connection, reply, isStandaloneWrite(order));
        return failure?.kind === "answer" ? resultBehindFailure(failure, statement, result) : result;
    }
    // The statement waits for these answers: behind a refused begin it would run outside of any transaction.
    const refusal = refusalOf(await connection.setUp(before, beginOf(opening)));
    if (refusal !== undefined) {
        return refusal;
    }
    const command = { ...forwarded, after: undefined };
    if (opening.kind === "transaction") {
        return resultOf(connection, await connection.sendCommands([command], 0), !opening.readOnly);
    }
    const result = resultOf(connection, await connection.sendCommands([command, { kind: "rollback" }], 0), true);
    return result.kind === "answered" ? { ...result, answer: withoutTransaction(result.answer) } : result;
}

/**
 * Result of a statement behind a refused set-up command. If it ran all the same, it had other session values than its
 * caller: a read is repeated elsewhere, and what a write did cannot be told.
 */
function resultBehindFailure(
    failure: Reply,
    statement: ForwardedStatement,
    result: StatementOrderResult,
): StatementOrderResult {
    if (result.kind === "answered" && result.answer.completion.kind === "done" && changesData(statement)) {
        return { kind: "unknown", reason: UnknownReason.SetUpRefused };
    }
    return refusalOf(failure) ?? result;
}

/** Hides the proxy's own transaction around a read from the caller. */
function withoutTransaction(answer: Answer): Answer {
    return { ...answer, state: TransactionStates.Idle };
}

function beginOf(opening: TransactionContext): EndpointCommand {
    return opening.kind === "transaction"
        ? { kind: "begin", readOnly: opening.readOnly, after: opening.after }
        : { kind: "begin", readOnly: false, after: undefined };
}

/** Returns true for a write outside of a transaction, which only the primary completes. */
function isStandaloneWrite({ opening, statement }: StatementOrder): boolean {
    return opening.kind === "bare" && statement.kind !== "commit" && changesData(statement);
}

function changesData(statement: OrderedStatement | ForwardedStatement): boolean {
    return statement.kind === "write" || statement.kind === "commit"
        || (statement.kind === "execute" && statement.writes);
}

/**
 * Returns the result of an order whose begin or set-up failed; undefined when it succeeded. A lost connection counts as
 * a refusal: nothing ran.
 */
function refusalOf(failure: Reply | undefined): StatementOrderResult | undefined {
    if (failure === undefined) {
        return undefined;
    }
    if (failure.kind === "lost") {
        return { kind: "notRun", reason: NotRunReason.Unreachable, position: undefined };
    }
    const { completion, position } = failure.answer;
    if (completion.kind === "done") {
        return undefined;
    }
    return { kind: "notRun", reason: NOT_RUN_REASONS[completion.code] ?? NotRunReason.Busy, position };
}

function resultOf(connection: PooledConnection, reply: Reply, leadsWhenDone: boolean): StatementOrderResult {
    if (reply.kind === "lost") {
        return { kind: "unknown", reason: UnknownReason.ConnectionLost };
    }
    const { answer } = reply;
    const { completion } = answer;
    if (completion.kind === "done" && completion.signature === undefined) {
        // Endpoints sign the results of statements, so this answers a later command and the statement's own answer is
        // lost.
        connection.close("an answer was lost");
        return { kind: "unknown", reason: UnknownReason.AnswerLost };
    }
    if (completion.kind === "error" && completion.code === ErrorCode.UnknownStatement) {
        // The names on the connection are the proxy's own, so its record of them is wrong.
        connection.markUncertain();
        return { kind: "notRun", reason: NotRunReason.Busy, position: answer.position };
    }
    if (completion.kind === "error" && guaranteesNoEffect(completion.code) && completion.code !== ErrorCode.Aborted) {
        const reason = NOT_RUN_REASONS[completion.code] ?? NotRunReason.Busy;
        return { kind: "notRun", reason, position: answer.position };
    }
    return { kind: "answered", answer: toAnswer(answer), led: leadsWhenDone && completion.kind === "done" };
}

function toAnswer({ rows, completion, state, position }: Answer): Answer {
    return { rows, completion, state, position };
}
