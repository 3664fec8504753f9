import type { Clock } from "@medlarledge/runtime";
import {
    type Answer,
    type Caller,
    type CallerHandler,
    type CallerRequest,
    compareLogPositions,
    errorAnswer,
    ErrorCode,
    type LogPosition,
    type StatementOrder,
    type StatementOrderResult,
    type TransactionState,
    TransactionStates,
} from "@medlarledge/statements";
import type { GatewayListener } from "./gateway-event.js";
import type { Group } from "./group.js";
import { NOT_RUN_CODES } from "./not-run.js";
import { type Outcome, type ReportedRequest, reportOutcome } from "./request-report.js";
import type { Route, Routing } from "./route.js";
import { type RunnableStatement, SessionImage, writes } from "./session-image.js";
import type { Served, StatementServer } from "./statement-server.js";

/** Why a transaction without statements for too long is rolled back. */
const IDLE_CAUSE = "its caller was idle for too long";

/** A caller's transaction. Before its first statement no endpoint knows of it. */
interface Transaction {
    /** Names the transaction at its endpoint. */
    key: string;
    readonly readOnly: boolean;
    /** The configuration may change meanwhile; the transaction stays on its route. */
    readonly route: Route;
    readonly group: Group;
    /** Where it runs; undefined before its first statement. */
    endpoint: string | undefined;
    wrote: boolean;
    /** Why it was rolled back before its caller ended it; undefined while it goes on. */
    failure: string | undefined;
    /** The last request in it. */
    requestId: string;
}

export interface SessionOptions {
    readonly caller: Caller;
    readonly clock: Clock;
    readonly server: StatementServer;
    readonly routing: () => Routing;
    readonly group: (name: string) => Group;
    /** Names transactions uniquely among all processes. */
    readonly transactionKey: () => string;
    readonly listener: GatewayListener;
    /** The session has nothing to do, or its caller is gone. */
    readonly idle: (session: CallerSession) => void;
    readonly ended: (session: CallerSession) => void;
}

/** One caller: answers its requests in order, one at a time. */
export class CallerSession implements CallerHandler {
    readonly #options: SessionOptions;
    readonly #image = new SessionImage();
    readonly #queue: CallerRequest[] = [];
    #transaction: Transaction | undefined;
    #idleTimer: NodeJS.Timeout | undefined;
    /** The session's last commit, and the position that callers are told. */
    #floor: LogPosition | undefined;
    #position: LogPosition | undefined;
    /** Id of the request that is being served. */
    #outstanding: string | undefined;
    #isBusy = false;
    #isClosed = false;

    constructor(options: SessionOptions) {
        this.#options = options;
    }

    /** No request is outstanding and no transaction is open. */
    get isIdle(): boolean {
        return !this.#isBusy && this.#queue.length === 0 && this.#transaction === undefined;
    }

    request(request: CallerRequest): void {
        this.#queue.push(request);
        if (!this.#isBusy) {
            void this.#work();
        }
    }

    closed(): void {
        if (!this.#isClosed) {
            this.#isClosed = true;
            this.#queue.length = 0;
            this.#endTransaction();
            this.#options.ended(this);
        }
    }

    /** Ends the session. Callers take this as no failure while the session is idle. */
    close(cause: string): void {
        if (this.#outstanding !== undefined) {
            const { caller, listener } = this.#options;
            listener({ kind: "cut", requestId: this.#outstanding, database: caller.database, cause });
        }
        this.#options.caller.close();
        this.closed();
    }

    /** Rolls back a transaction that may not go on; its caller learns it at the next statement. */
    abortTransaction(cause: string): void {
        const transaction = this.#transaction;
        if (transaction === undefined || transaction.failure !== undefined || this.#isBusy) {
            return;
        }
        this.#rollBack(transaction);
        transaction.failure = cause;
        const { endpoint, key, requestId, route } = transaction;
        this.#options.listener({ kind: "aborted", group: route.group, endpoint, transaction: key, requestId, cause });
    }

    async #work(): Promise<void> {
        this.#isBusy = true;
        clearTimeout(this.#idleTimer);
        for (let request = this.#queue.shift(); request !== undefined; request = this.#queue.shift()) {
            this.#outstanding = request.id;
            const answer = await this.#serve(request, this.#options.clock.now());
            this.#outstanding = undefined;
            if (this.#isClosed) {
                break;
            }
            this.#options.caller.answer({ ...answer, position: answer.position ?? this.#position });
        }
        this.#isBusy = false;
        this.#settled();
    }

    #settled(): void {
        if (this.#isClosed) {
            return;
        }
        if (this.#transaction?.endpoint !== undefined && this.#transaction.failure === undefined) {
            const { transactionIdleMs } = this.#options.routing();
            this.#idleTimer = setTimeout(() => this.abortTransaction(IDLE_CAUSE), transactionIdleMs);
        }
        this.#options.idle(this);
    }

    #serve(request: CallerRequest, now: number): Answer | Promise<Answer> {
        const { statement } = request;
        if (this.#transaction?.failure !== undefined) {
            return this.#answerFailed(request, this.#transaction, now);
        }
        switch (statement.kind) {
            case "begin":
                return this.#begin(request.id, statement.readOnly);
            case "rollback":
                this.#endTransaction();
                return this.#done();
            case "commit":
                return this.#commit(request, now);
            case "read":
            case "write":
            case "execute":
                return this.#run(request, statement, now);
            case "set":
            case "prepare":
            case "deallocate": {
                const refusal = this.#image.apply(statement);
                return refusal === undefined ? this.#done() : this.#fail(refusal, statement.kind);
            }
            case "malformed":
                return this.#fail(ErrorCode.Malformed, statement.reason);
        }
    }

    #begin(requestId: string, readOnly: boolean): Answer {
        if (this.#transaction === undefined) {
            const route = this.#route();
            if (route === undefined) {
                return errorAnswer(ErrorCode.UnknownDatabase, this.#options.caller.database, TransactionStates.Idle);
            }
            this.#transaction = {
                key: this.#options.transactionKey(),
                readOnly,
                route,
                group: this.#options.group(route.group),
                endpoint: undefined,
                wrote: false,
                failure: undefined,
                requestId,
            };
        }
        return this.#done();
    }

    async #run(request: CallerRequest, statement: RunnableStatement, now: number): Promise<Answer> {
        const ordered = this.#image.resolve(statement);
        if (ordered === undefined) {
            return this.#fail(ErrorCode.UnknownStatement, "there is no such prepared statement");
        }
        const transaction = this.#transaction;
        if (transaction?.endpoint !== undefined) {
            transaction.wrote ||= writes(ordered);
            return this.#continue(request, transaction, ordered, now);
        }
        const route = transaction?.route ?? this.#route();
        if (route === undefined) {
            return errorAnswer(ErrorCode.UnknownDatabase, this.#options.caller.database, TransactionStates.Idle);
        }
        const group = transaction?.group ?? this.#options.group(route.group);
        const served = await this.#options.server.serve({
            requestId: request.id,
            route,
            statement: ordered,
            values: this.#image.values,
            floor: this.#floor,
            transaction,
            arrivedAt: now,
        }, group);
        this.#report({ request, route, group, transaction: transaction?.key }, served, now);
        if (transaction !== undefined) {
            transaction.requestId = request.id;
            return this.#started(transaction, served, writes(ordered));
        }
        if (writes(ordered) && served.answer.completion.kind === "done") {
            this.#committed(served.answer.position);
        }
        return served.answer;
    }

    /** Takes over the result of a transaction's first statement. */
    #started(transaction: Transaction, served: Served, wrote: boolean): Answer {
        const { answer, endpoint } = served;
        if (answer.state === TransactionStates.Open) {
            transaction.endpoint = endpoint;
            transaction.key = served.transaction ?? transaction.key;
            transaction.wrote = wrote;
            if (this.#isClosed) {
                this.#rollBack(transaction);
            }
            return answer;
        }
        transaction.failure = served.cause ?? "its first statement failed";
        return { ...answer, state: TransactionStates.Failed };
    }

    async #continue(
        request: CallerRequest,
        transaction: Transaction,
        statement: StatementOrder["statement"],
        now: number,
    ): Promise<Answer> {
        const result = await transaction.group.orders.run(this.#order(request, transaction, statement), false);
        const answer = this.#answerOf(result, transaction, statement);
        const { endpoint, key, route, group } = transaction;
        const outcome = { answer, endpoint, attempts: 1, waitedMs: 0, cause: causeOf(result) };
        this.#report({ request, route, group, transaction: key }, outcome, now);
        transaction.requestId = request.id;
        if (statement.kind !== "commit" && answer.state === TransactionStates.Failed) {
            this.#rollBack(transaction);
            transaction.failure = outcome.cause ?? "a statement failed";
        }
        return answer;
    }

    #order(request: CallerRequest, transaction: Transaction, statement: StatementOrder["statement"]): StatementOrder {
        const { route, key, endpoint } = transaction;
        return {
            group: route.group,
            endpoint: endpoint ?? "",
            requestId: request.id,
            statement,
            opening: { kind: "continued" },
            transaction: key,
            values: this.#image.values,
            priority: route.priority,
            patienceMs: route.timeoutMs,
            timeoutMs: route.timeoutMs,
        };
    }

    /** What the caller is told of a statement within its transaction. */
    #answerOf(result: StatementOrderResult, transaction: Transaction, statement: StatementOrder["statement"]): Answer {
        const isCommit = statement.kind === "commit";
        const state = isCommit ? TransactionStates.Idle : TransactionStates.Failed;
        if (result.kind === "answered") {
            const { answer } = result;
            return answer.completion.kind === "done" ? answer : { ...answer, state };
        }
        if (result.kind === "notRun") {
            return errorAnswer(
                NOT_RUN_CODES[result.reason],
                `the transaction is rolled back (${result.reason})`,
                state,
            );
        }
        if (isCommit && transaction.wrote) {
            return errorAnswer(ErrorCode.Unknown, `the commit was sent and not answered (${result.reason})`, state);
        }
        // Without its commit the endpoint keeps nothing; without a write there is nothing to keep.
        return errorAnswer(ErrorCode.Aborted, `the transaction is rolled back (${result.reason})`, state);
    }

    async #commit(request: CallerRequest, now: number): Promise<Answer> {
        const transaction = this.#transaction;
        if (transaction === undefined) {
            return this.#done();
        }
        const answer = transaction.endpoint === undefined
            ? await this.#commitEmpty(request, transaction, now)
            : await this.#continue(request, transaction, { kind: "commit" }, now);
        this.#transaction = undefined;
        if (answer.completion.kind === "done" && transaction.wrote) {
            this.#committed(answer.position);
        }
        return { ...answer, state: TransactionStates.Idle };
    }

    /** A transaction without statements is committed by an endpoint too, since its answer carries a signature. */
    async #commitEmpty(request: CallerRequest, transaction: Transaction, now: number): Promise<Answer> {
        const { route, group } = transaction;
        const served = await this.#options.server.serve({
            requestId: request.id,
            route,
            statement: { kind: "commit" },
            values: this.#image.values,
            floor: this.#floor,
            transaction,
            arrivedAt: now,
        }, group);
        this.#report({ request, route, group, transaction: transaction.key }, served, now);
        return served.answer;
    }

    /** In a failed transaction only its end is accepted. */
    #answerFailed(request: CallerRequest, transaction: Transaction, now: number): Answer {
        const { statement } = request;
        if (statement.kind === "rollback") {
            this.#transaction = undefined;
            return this.#done();
        }
        const isCommit = statement.kind === "commit";
        const state = isCommit ? TransactionStates.Idle : TransactionStates.Failed;
        const text = `the transaction is rolled back (${transaction.failure ?? ""})`;
        const answer = errorAnswer(ErrorCode.Aborted, text, state);
        const { endpoint, key, route, group } = transaction;
        const cause = `rolled back after ${transaction.requestId}: ${transaction.failure ?? ""}`;
        this.#report(
            { request, route, group, transaction: key },
            { answer, endpoint, attempts: 0, waitedMs: 0, cause },
            now,
        );
        if (isCommit) {
            this.#transaction = undefined;
        }
        return answer;
    }

    #fail(code: ErrorCode, text: string): Answer {
        const transaction = this.#transaction;
        if (transaction === undefined) {
            return errorAnswer(code, text, TransactionStates.Idle);
        }
        this.#rollBack(transaction);
        transaction.failure = text;
        return errorAnswer(code, text, TransactionStates.Failed);
    }

    #done(): Answer {
        const state: TransactionState = this.#transaction === undefined
            ? TransactionStates.Idle
            : TransactionStates.Open;
        return { rows: [], completion: { kind: "done", signature: undefined }, state, position: undefined };
    }

    #committed(position: LogPosition | undefined): void {
        this.#position = position ?? this.#position;
        if (position !== undefined && (this.#floor === undefined || compareLogPositions(position, this.#floor) > 0)) {
            this.#floor = position;
        }
    }

    #endTransaction(): void {
        clearTimeout(this.#idleTimer);
        const transaction = this.#transaction;
        this.#transaction = undefined;
        if (transaction !== undefined && transaction.failure === undefined) {
            this.#rollBack(transaction);
        }
    }

    #rollBack({ group, endpoint, key }: Transaction): void {
        if (endpoint !== undefined) {
            group.orders.endTransaction(endpoint, key);
        }
    }

    #route(): Route | undefined {
        return this.#options.routing().routes.get(this.#options.caller.database);
    }

    #report(
        request: Pick<ReportedRequest, "request" | "route" | "group" | "transaction">,
        outcome: Outcome,
        arrivedAt: number,
    ): void {
        const { clock, listener, routing } = this.#options;
        const latencyMs = clock.now() - arrivedAt;
        reportOutcome(listener, { ...request, latencyMs, configuration: routing().number }, outcome);
    }
}

function causeOf(result: StatementOrderResult): string | undefined {
    return result.kind === "answered" ? undefined : result.reason;
}
