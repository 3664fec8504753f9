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
import { NOT_RUN_CODES } from "./not-run.js";
import type { Outcome } from "./request-report.js";
import type { Route } from "./route.js";
import { writes } from "./session-image.js";

/**
 * Part of a route's timeout for which a request that has not run may wait; the rest is left for running it and for a
 * caller that gives up before the route does.
 */
const PATIENCE_SHARE = 0.6;

/** Pause before an endpoint that was busy is asked again. */
const BUSY_PAUSE_MS = 10;

/** Longest wait for news before the choice is made again. */
const LOOK_AGAIN_MS = 50;

/** A caller that is refused for want of an endpoint is asked to come back after this time. */
const RETRY_AFTER_MS = 200;

export interface ServeRequest {
    readonly requestId: string;
    readonly route: Route;
    readonly statement: OrderedStatement;
    readonly values: StatementOrder["values"];
    /** The session's last commit. */
    readonly floor: LogPosition | undefined;
    /** The caller's transaction that the statement begins. */
    readonly transaction: { readonly key: string; readonly readOnly: boolean; } | undefined;
    readonly arrivedAt: number;
}

export interface Served extends Outcome {
    /** Name of the transaction that the statement began. */
    readonly transaction: string | undefined;
}

interface Attempt {
    readonly endpoint: string;
    readonly opening: TransactionContext;
    /** Of its own for each attempt: one that was given up may still open its transaction. */
    readonly transaction: string | undefined;
}

interface Tried {
    readonly endpoint: string;
    readonly result: StatementOrderResult;
}

/** How far the serving of one request has come. */
interface Progress {
    readonly giveUpAt: number;
    /** Endpoints that cannot run it, until no others are left. */
    readonly tried: Set<string>;
    last: Tried | undefined;
    attempts: number;
    waitedMs: number;
}

/** An attempt that ended without an answer for the caller. */
export interface Retry {
    readonly endpoint: string;
    readonly cause: string;
    readonly attempt: number;
    /** Position that the endpoint's log had to have reached. */
    readonly required: LogPosition | undefined;
    /** Position that the endpoint named when it refused. */
    readonly reached: LogPosition | undefined;
}

export type RetryListener = (request: ServeRequest, retry: Retry) => void;

/** Runs statements that no transaction binds to a connection yet: chooses an endpoint, and another one if needed. */
export class StatementServer {
    readonly #clock: Clock;
    readonly #retried: RetryListener;

    constructor(clock: Clock, retried: RetryListener) {
        this.#clock = clock;
        this.#retried = retried;
    }

    async serve(request: ServeRequest, group: Group): Promise<Served> {
        const giveUpAt = request.arrivedAt + request.route.timeoutMs * PATIENCE_SHARE;
        const progress: Progress = { giveUpAt, tried: new Set(), last: undefined, attempts: 0, waitedMs: 0 };
        for (;;) {
            if (this.#clock.now() >= giveUpAt) {
                return givenUp(progress);
            }
            const place = choose(request, group, progress.tried);
            const served = place === undefined
                ? await this.#wait(request, group, progress)
                : await this.#attempt(request, group, progress, place);
            if (served !== undefined) {
                return served;
            }
        }
    }

    /** Waits until an endpoint may be there; refuses at once when none is expected in time. */
    async #wait(request: ServeRequest, group: Group, progress: Progress): Promise<Served | undefined> {
        const { giveUpAt, tried } = progress;
        const now = this.#clock.now();
        const onlyLeader = needsLeader(request) || group.provesByLeader(request.route, request.floor);
        const prospect = decideDuringOutage(group.outage(onlyLeader), { waitedMs: progress.waitedMs, giveUpAt, now });
        if (prospect.kind === "refuse") {
            return refused(NotRunReason.Unreachable, prospect.retryAfterMs, progress);
        }
        tried.clear();
        await group.change(Math.min(LOOK_AGAIN_MS, giveUpAt - now));
        progress.waitedMs += this.#clock.now() - now;
        return undefined;
    }

    async #attempt(
        request: ServeRequest,
        group: Group,
        progress: Progress,
        place: Omit<Attempt, "transaction">,
    ): Promise<Served | undefined> {
        progress.attempts += 1;
        const { attempts, waitedMs } = progress;
        const attempt = { ...place, transaction: attemptKey(request, attempts) };
        const { endpoint } = attempt;
        const result = await group.orders.run(
            this.#order(request, attempt, progress.giveUpAt),
            !mayChangeData(request),
        );
        progress.last = { endpoint, result };
        if (result.kind === "answered") {
            const { answer } = result;
            if (isFault(answer) && !mayChangeData(request) && group.orders.mayRepeat(endpoint)) {
                this.#retried(request, retryOf(attempt, attempts, errorOf(answer) ?? "", result));
                progress.tried.add(endpoint);
                return undefined;
            }
            return { answer, ...attempt, attempts, waitedMs, cause: errorOf(answer) };
        }
        if (result.kind === "unknown" && mayChangeData(request)) {
            return unknownOutcome(progress, endpoint, result.reason);
        }
        const isOnlyLeader = attempt.opening.kind === "proven" || needsLeader(request);
        const isLast = isOnlyLeader
            || (!group.hasCloseReplica() && !hasOther(request, group, progress.tried, endpoint));
        if (result.reason === NotRunReason.NoConnection && isLast) {
            // Those who hold connections to the last choice were asked, and expect a longer wait than there is time for.
            return refused(NotRunReason.NoConnection, RETRY_AFTER_MS, progress);
        }
        this.#retried(request, retryOf(attempt, attempts, result.reason, result));
        if (!(isOnlyLeader && result.kind === "unknown" && result.reason === UnknownReason.Overdue)) {
            await pauseBefore(result, progress.tried, endpoint);
        }
        return undefined;
    }

    #order(request: ServeRequest, { endpoint, opening, transaction }: Attempt, giveUpAt: number): StatementOrder {
        const { route, requestId, statement, values, arrivedAt } = request;
        const now = this.#clock.now();
        return {
            group: route.group,
            endpoint,
            requestId,
            statement,
            opening,
            transaction,
            values,
            priority: route.priority,
            patienceMs: Math.max(1, giveUpAt - now),
            timeoutMs: Math.max(1, arrivedAt + route.timeoutMs - now),
        };
    }
}

/** Chooses where the statement runs; undefined when no endpoint can take it now. */
function choose(
    { route, statement, floor, transaction }: ServeRequest,
    group: Group,
    tried: ReadonlySet<string>,
): Omit<Attempt, "transaction"> | undefined {
    if (needsLeader({ statement, transaction })) {
        const endpoint = group.primary();
        const opening: TransactionContext = transaction === undefined
            ? { kind: "bare", after: undefined }
            : { kind: "transaction", readOnly: false, after: undefined };
        return endpoint === undefined ? undefined : { endpoint, opening };
    }
    const choice = group.readChoice(route, floor, tried);
    if (choice === undefined || transaction === undefined) {
        return choice;
    }
    return { endpoint: choice.endpoint, opening: openingOfRead(choice.opening) };
}

/** Another endpoint than those tried and `endpoint` can take it now. */
function hasOther(request: ServeRequest, group: Group, tried: ReadonlySet<string>, endpoint: string): boolean {
    const other = choose(request, group, new Set([...tried, endpoint]));
    return other !== undefined && other.endpoint !== endpoint;
}

/** Only the group's leader can run it; reads may turn out to need it too. */
function needsLeader({ statement, transaction }: Pick<ServeRequest, "statement" | "transaction">): boolean {
    return transaction === undefined ? writes(statement) : !transaction.readOnly;
}

function attemptKey({ transaction }: ServeRequest, attempt: number): string | undefined {
    return transaction === undefined ? undefined : `${transaction.key}/${attempt}`;
}

function retryOf({ endpoint, opening }: Attempt, attempt: number, cause: string, result: StatementOrderResult): Retry {
    const required = "after" in opening ? opening.after : undefined;
    const reached = result.kind === "notRun" ? result.position : undefined;
    return { endpoint, cause, attempt, required, reached };
}

async function pauseBefore(result: StatementOrderResult, tried: Set<string>, endpoint: string): Promise<void> {
    if (result.kind === "notRun" && result.reason === NotRunReason.NotPrimary) {
        return;
    }
    tried.add(endpoint);
    if (result.kind === "notRun" && result.reason === NotRunReason.Busy) {
        await new Promise(resolve => setTimeout(resolve, BUSY_PAUSE_MS));
    }
}

function givenUp(progress: Progress): Served {
    const { last, attempts, waitedMs } = progress;
    if (last?.result.kind === "unknown") {
        const answer = errorAnswer(ErrorCode.Timeout, "no endpoint answered in time", TransactionStates.Idle);
        const { reason } = last.result;
        return { answer, endpoint: last.endpoint, transaction: undefined, attempts, waitedMs, cause: reason };
    }
    const reason = last?.result.kind === "notRun" ? last.result.reason : NotRunReason.Unreachable;
    return refused(reason, RETRY_AFTER_MS, progress);
}

function refused(reason: NotRunReason, retryAfterMs: number, { last, attempts, waitedMs }: Progress): Served {
    const text = `not run (${reason}); retry in ${retryAfterMs} ms`;
    const answer = errorAnswer(NOT_RUN_CODES[reason], text, TransactionStates.Idle);
    return { answer, endpoint: last?.endpoint, transaction: undefined, attempts, waitedMs, cause: reason };
}

/** A read-only transaction that only the leader may run is a plain one that writes nothing. */
function openingOfRead(opening: TransactionContext): TransactionContext {
    return opening.kind === "proven"
        ? { kind: "transaction", readOnly: false, after: undefined }
        : { kind: "transaction", readOnly: true, after: opening.kind === "bare" ? opening.after : undefined };
}

/** The first statement of a transaction changes nothing before its commit. */
function mayChangeData({ statement, transaction }: ServeRequest): boolean {
    return transaction === undefined && writes(statement);
}

function unknownOutcome({ attempts, waitedMs }: Progress, endpoint: string, reason: string): Served {
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
