import type { Customer } from "@medlarledge/customers";
import { decideDuringOutage } from "@medlarledge/routing";
import type { Clock } from "@medlarledge/runtime";
import {
    type Answer,
    errorAnswer,
    ErrorCode,
    isEndpointFault,
    type LogPosition,
    NotRunReason,
    type OrderedStatement,
    type StatementOrder,
    type StatementOrderResult,
    type TransactionContext,
    TransactionStates,
    UnknownReason,
} from "@medlarledge/statements";
import type { Group } from "./group.js";
import { NOT_RUN_CODES } from "./not-run-codes.js";
import type { Outcome } from "./request-report.js";
import type { Route } from "./route.js";
import { isWrite } from "./session-state.js";

/**
 * Part of a route's timeout for which a request may wait before it runs. The rest is for running it, and for callers
 * that give up before the route's timeout.
 */
const MAX_WAIT_SHARE = 0.6;

/** Delay before the first retry after an endpoint was busy; it doubles with each further one. */
const BUSY_RETRY_DELAY_MS = 10;
const MAX_BUSY_RETRY_DELAY_MS = 160;

/** Maximum wait for a change of the group before an endpoint is chosen again. */
const MAX_CHANGE_WAIT_MS = 50;

/** Delay after which a caller that was refused should retry. */
const RETRY_AFTER_MS = 200;

/** Cause that is reported when a request was given up because its caller closed the connection. */
const CALLER_LEFT = "callerLeft";

export interface ServeRequest {
    readonly requestId: string;
    /** Id of the caller's session. */
    readonly session: string;
    readonly route: Route;
    /** Customer in whose name it runs; undefined for an anonymous caller. */
    readonly customer: Customer | undefined;
    readonly statement: OrderedStatement;
    readonly values: StatementOrder["values"];
    /** Position of the session's last commit. */
    readonly floor: LogPosition | undefined;
    /** The caller's transaction, if the statement is the first one in it. */
    readonly transaction: { readonly key: string; readonly readOnly: boolean; } | undefined;
    readonly arrivedAt: number;
    /** Whether the caller has closed its connection, so that nobody waits for the answer. */
    readonly hasLeft: () => boolean;
}

export interface ServeResult extends Outcome {
    /** Key of the transaction that the statement began. */
    readonly transaction: string | undefined;
}

interface Attempt {
    readonly endpoint: string;
    readonly opening: TransactionContext;
    /** Differs between attempts, because an attempt that was given up may still open its transaction. */
    readonly transaction: string | undefined;
}

interface AttemptResult {
    readonly endpoint: string;
    readonly result: StatementOrderResult;
}

/** Progress in serving one request. */
interface Progress {
    readonly giveUpAt: number;
    /** Endpoints that failed to run it; cleared when no others are left. */
    readonly tried: Set<string>;
    last: AttemptResult | undefined;
    attempts: number;
    /** Number of attempts that endpoints rejected because of load. */
    busyCount: number;
    waitedMs: number;
}

/** An attempt that ended without an answer for the caller. */
export interface Retry {
    readonly endpoint: string;
    readonly cause: string;
    readonly attempt: number;
    /** Position that the endpoint's log was required to have reached. */
    readonly required: LogPosition | undefined;
    /** Position that the endpoint reported with its refusal. */
    readonly reached: LogPosition | undefined;
}

export type RetryListener = (request: ServeRequest, retry: Retry) => void;

/**
 * Runs statements that are not yet bound to a connection by a transaction: chooses an endpoint, and retries on others.
 */
export class StatementRouter {
    readonly #clock: Clock;
    readonly #retried: RetryListener;

    constructor(clock: Clock, retried: RetryListener) {
        this.#clock = clock;
        this.#retried = retried;
    }

    /** Runs a statement and returns its result, at the latest at the deadline of its route. */
    async serve(request: ServeRequest, group: Group): Promise<ServeResult> {
        const giveUpAt = request.arrivedAt + request.route.timeoutMs * MAX_WAIT_SHARE;
        const progress: Progress = {
            giveUpAt,
            tried: new Set(),
            last: undefined,
            attempts: 0,
            busyCount: 0,
            waitedMs: 0,
        };
        for (;;) {
            if (this.#clock.now() >= giveUpAt) {
                return resultAtDeadline(progress);
            }
            if (request.hasLeft()) {
                return { ...resultAtDeadline(progress), cause: CALLER_LEFT };
            }
            const target = chooseEndpoint(request, group, progress.tried);
            const serveResult = target === undefined
                ? await this.#wait(request, group, progress)
                : await this.#attempt(request, group, progress, target);
            if (serveResult !== undefined) {
                return serveResult;
            }
        }
    }

    /** Waits until an endpoint may be usable. Returns a refusal at once when none is expected in time. */
    async #wait(request: ServeRequest, group: Group, progress: Progress): Promise<ServeResult | undefined> {
        const { giveUpAt, tried } = progress;
        const now = this.#clock.now();
        const onlyPrimary = needsPrimary(request) || group.readNeedsPrimary(request.route, request.floor);
        const decision = decideDuringOutage(group.outage(onlyPrimary), { waitedMs: progress.waitedMs, giveUpAt, now });
        if (decision.kind === "refuse") {
            return refusal(NotRunReason.Unreachable, decision.retryAfterMs, progress);
        }
        tried.clear();
        await group.change(Math.min(MAX_CHANGE_WAIT_MS, giveUpAt - now));
        progress.waitedMs += this.#clock.now() - now;
        return undefined;
    }

    async #attempt(
        request: ServeRequest,
        group: Group,
        progress: Progress,
        target: Omit<Attempt, "transaction">,
    ): Promise<ServeResult | undefined> {
        progress.attempts += 1;
        const { attempts, waitedMs } = progress;
        const attempt = { ...target, transaction: attemptTransactionKey(request, attempts) };
        const { endpoint } = attempt;
        const result = await group.orders.run(
            this.#order(request, attempt, progress.giveUpAt),
            !mayChangeData(request),
        );
        progress.last = { endpoint, result };
        if (result.kind === "answered") {
            const { answer } = result;
            if (isFault(answer) && !mayChangeData(request) && group.orders.mayRetry(endpoint)) {
                this.#retried(request, retryOf(attempt, attempts, errorOf(answer) ?? "", result));
                progress.tried.add(endpoint);
                return undefined;
            }
            return { answer, ...attempt, attempts, waitedMs, cause: errorOf(answer) };
        }
        if (request.hasLeft()) {
            return { ...resultAtDeadline(progress), cause: CALLER_LEFT };
        }
        if (result.kind === "unknown" && mayChangeData(request)) {
            return unknownOutcome(progress, endpoint, result.reason);
        }
        const isOnlyPrimary = attempt.opening.kind === "proven" || needsPrimary(request);
        const isLast = isOnlyPrimary
            || (!group.hasCaughtUpReplica() && !hasOtherEndpoint(request, group, progress.tried, endpoint));
        if (result.reason === NotRunReason.NoConnection && isLast) {
            // The hosts with connections to the last possible endpoint expect a longer wait than the request has time
            // for.
            return refusal(NotRunReason.NoConnection, RETRY_AFTER_MS, progress);
        }
        this.#retried(request, retryOf(attempt, attempts, result.reason, result));
        if (!(isOnlyPrimary && result.kind === "unknown" && result.reason === UnknownReason.Overdue)) {
            const pauseMs = pauseBeforeRetry(result, progress, endpoint);
            if (this.#clock.now() + pauseMs >= progress.giveUpAt) {
                return resultAtDeadline(progress);
            }
            if (pauseMs > 0) {
                await new Promise(resolve => setTimeout(resolve, pauseMs));
            }
        }
        return undefined;
    }

    #order(request: ServeRequest, { endpoint, opening, transaction }: Attempt, giveUpAt: number): StatementOrder {
        const { route, customer, requestId, session, statement, values, arrivedAt } = request;
        const now = this.#clock.now();
        return {
            group: route.group,
            endpoint,
            requestId,
            session,
            statement,
            opening,
            transaction,
            values,
            customer: customer?.name,
            weight: customer?.weight,
            priority: route.priority,
            targetMs: customer === undefined || route.targetMs === undefined
                ? undefined
                : arrivedAt + route.targetMs - now,
            patienceMs: Math.max(1, giveUpAt - now),
            timeoutMs: Math.max(1, arrivedAt + route.timeoutMs - now),
        };
    }
}

/** Chooses the endpoint for a statement; undefined when none can run it now. */
function chooseEndpoint(
    { route, statement, floor, transaction }: ServeRequest,
    group: Group,
    tried: ReadonlySet<string>,
): Omit<Attempt, "transaction"> | undefined {
    if (needsPrimary({ statement, transaction })) {
        const endpoint = group.primary();
        const opening: TransactionContext = transaction === undefined
            ? { kind: "bare", after: undefined }
            : { kind: "transaction", readOnly: false, after: undefined };
        return endpoint === undefined ? undefined : { endpoint, opening };
    }
    const choice = group.chooseEndpointForRead(route, floor, tried);
    if (choice === undefined || transaction === undefined) {
        return choice;
    }
    return { endpoint: choice.endpoint, opening: openingOfRead(choice.opening) };
}

/** Returns true when an endpoint other than `endpoint` and those in `tried` can run the statement now. */
function hasOtherEndpoint(request: ServeRequest, group: Group, tried: ReadonlySet<string>, endpoint: string): boolean {
    const other = chooseEndpoint(request, group, new Set([...tried, endpoint]));
    return other !== undefined && other.endpoint !== endpoint;
}

/**
 * Returns true when only the primary can run the statement. Reads may need the primary too, depending on their route.
 */
function needsPrimary({ statement, transaction }: Pick<ServeRequest, "statement" | "transaction">): boolean {
    return transaction === undefined ? isWrite(statement) : !transaction.readOnly;
}

function attemptTransactionKey({ transaction }: ServeRequest, attempt: number): string | undefined {
    return transaction === undefined ? undefined : `${transaction.key}/${attempt}`;
}

function retryOf({ endpoint, opening }: Attempt, attempt: number, cause: string, result: StatementOrderResult): Retry {
    const required = "after" in opening ? opening.after : undefined;
    const reached = result.kind === "notRun" ? result.position : undefined;
    return { endpoint, cause, attempt, required, reached };
}

/** Records a failed attempt. Returns the delay before the next one in ms. */
function pauseBeforeRetry(result: StatementOrderResult, progress: Progress, endpoint: string): number {
    if (result.kind === "notRun" && result.reason === NotRunReason.NotPrimary) {
        return 0;
    }
    progress.tried.add(endpoint);
    if (result.kind !== "notRun" || result.reason !== NotRunReason.Busy) {
        return 0;
    }
    progress.busyCount += 1;
    return Math.min(MAX_BUSY_RETRY_DELAY_MS, BUSY_RETRY_DELAY_MS * 2 ** (progress.busyCount - 1));
}

function resultAtDeadline(progress: Progress): ServeResult {
    const { last, attempts, waitedMs } = progress;
    if (last?.result.kind === "unknown") {
        const answer = errorAnswer(ErrorCode.Timeout, "no endpoint answered in time", TransactionStates.Idle);
        const { reason } = last.result;
        return { answer, endpoint: last.endpoint, transaction: undefined, attempts, waitedMs, cause: reason };
    }
    const reason = last?.result.kind === "notRun" ? last.result.reason : NotRunReason.Unreachable;
    return refusal(reason, RETRY_AFTER_MS, progress);
}

function refusal(reason: NotRunReason, retryAfterMs: number, { last, attempts, waitedMs }: Progress): ServeResult {
    const text = `not run (${reason}); retry in ${retryAfterMs} ms`;
    const answer = errorAnswer(NOT_RUN_CODES[reason], text, TransactionStates.Idle);
    return { answer, endpoint: last?.endpoint, transaction: undefined, attempts, waitedMs, cause: reason };
}

/**
 * Opening of a read-only transaction. On the primary, a read-write transaction is used, since only the primary begins
 * one.
 */
function openingOfRead(opening: TransactionContext): TransactionContext {
    return opening.kind === "proven"
        ? { kind: "transaction", readOnly: false, after: undefined }
        : { kind: "transaction", readOnly: true, after: opening.kind === "bare" ? opening.after : undefined };
}

/**
 * Returns true for writes outside of a transaction; the first statement of a transaction changes nothing before its
 * commit.
 */
function mayChangeData({ statement, transaction }: ServeRequest): boolean {
    return transaction === undefined && isWrite(statement);
}

function unknownOutcome({ attempts, waitedMs }: Progress, endpoint: string, reason: string): ServeResult {
    const text = `the write was sent and not answered (${reason})`;
    const answer = errorAnswer(ErrorCode.Unknown, text, TransactionStates.Idle);
    return { answer, endpoint, transaction: undefined, attempts, waitedMs, cause: reason };
}

function isFault({ completion }: Answer): boolean {
    return completion.kind === "error" && isEndpointFault(completion.code);
}

function errorOf({ completion }: Answer): string | undefined {
    return completion.kind === "error" ? completion.code : undefined;
}
