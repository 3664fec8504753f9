import type { Customer } from "@medlarledge/customers";
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
import { type CallerIdentity, customerOf, type Identification } from "./caller-identity.js";
import type { GatewayListener } from "./gateway-event.js";
import type { Group } from "./group.js";
import { NOT_RUN_CODES } from "./not-run-codes.js";
import { type Outcome, type ReportedRequest, reportOutcome } from "./request-report.js";
import type { Route, Routing } from "./route.js";
import { isWrite, type RunnableStatement, SessionState } from "./session-state.js";
import type { ServeResult, StatementRouter } from "./statement-router.js";

/** Cause that is logged when an idle transaction is rolled back. */
const IDLE_CAUSE = "its caller was idle for too long";

/** Text of the answer to a request whose key is not in the configuration in force. */
const NOT_AUTHORIZED = "the key is unknown or revoked";

/** A caller's transaction. It begins on an endpoint with its first statement. */
interface Transaction {
    /** Identifies the transaction among those of all processes. */
    key: string;
    readonly readOnly: boolean;
    /** Route at the begin; the transaction stays on it when the configuration changes. */
    readonly route: Route;
    /** Customer in whose name it runs; undefined for an anonymous caller. */
    readonly customer: Customer | undefined;
    readonly group: Group;
    /** Endpoint on which it runs; undefined before its first statement. */
    endpoint: string | undefined;
    wrote: boolean;
    /** Why it was rolled back before its caller ended it; undefined otherwise. */
    failure: string | undefined;
    /** Id of its latest request. */
    requestId: string;
}

export interface SessionOptions {
    readonly caller: Caller;
    readonly identity: CallerIdentity;
    readonly clock: Clock;
    readonly server: StatementRouter;
    readonly routing: () => Routing;
    readonly group: (name: string) => Group;
    /** Creates a key that is unique among the transactions and sessions of all processes. */
    readonly transactionKey: () => string;
    readonly listener: GatewayListener;
    /** The session has answered all of its requests; a transaction may still be open. */
    readonly idle: (session: CallerSession) => void;
    readonly ended: (session: CallerSession) => void;
}

/** Session of one caller: serves its requests in order, one at a time. */
export class CallerSession implements CallerHandler {
    readonly #options: SessionOptions;
    readonly #id: string;
    readonly #sessionState = new SessionState();
    readonly #queue: CallerRequest[] = [];
    #transaction: Transaction | undefined;
    #idleTimer: NodeJS.Timeout | undefined;
    /** Read floor: the highest position of the session's commits. */
    #floor: LogPosition | undefined;
    /** Position of the session's latest commit, which answers to the caller state. */
    #position: LogPosition | undefined;
    /** Id of the request that is being served. */
    #outstandingRequestId: string | undefined;
    /** Group whose endpoints run the outstanding request. */
    #outstandingGroup: Group | undefined;
    #isBusy = false;
    #isClosed = false;

    constructor(options: SessionOptions) {
        this.#options = options;
        this.#id = options.transactionKey();
    }

    /** True while no request is outstanding and no transaction is open. */
    get isIdle(): boolean {
        return !this.#isBusy && this.#queue.length === 0 && this.#transaction === undefined;
    }

    request(request: CallerRequest): void {
        this.#queue.push(request);
        if (!this.#isBusy) {
            void this.#processQueue();
        }
    }

    closed(): void {
        if (!this.#isClosed) {
            this.#isClosed = true;
            this.#queue.length = 0;
            if (this.#outstandingRequestId !== undefined) {
                this.#outstandingGroup?.orders.cancel(this.#id);
            }
            this.#endTransaction();
            this.#options.ended(this);
        }
    }

    /**
     * Ends the session and closes the caller's connection. Callers do not count that as a failure while they are idle.
     */
    close(cause: string): void {
        if (this.#outstandingRequestId !== undefined) {
            const { caller, listener } = this.#options;
            listener({ kind: "cut", requestId: this.#outstandingRequestId, database: caller.database, cause });
        }
        this.#options.caller.close();
        this.closed();
    }

    /**
     * Rolls back the open transaction unless a request is being served; the caller's next statement is answered with an
     * error.
     */
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

    async #processQueue(): Promise<void> {
        this.#isBusy = true;
        clearTimeout(this.#idleTimer);
        for (let request = this.#queue.shift(); request !== undefined; request = this.#queue.shift()) {
            this.#outstandingRequestId = request.id;
            const answer = await this.#serve(request, this.#options.clock.now());
            this.#outstandingRequestId = undefined;
            if (this.#isClosed) {
                break;
            }
            this.#options.caller.answer({ ...answer, position: answer.position ?? this.#position });
        }
        this.#isBusy = false;
        this.#queueEmptied();
    }

    #queueEmptied(): void {
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
            return this.#answerInFailedTransaction(request, this.#transaction, now);
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
                const refusal = this.#sessionState.apply(statement);
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
            const identification = this.#identify(route);
            if (identification.kind === "notAuthorized") {
                return this.#fail(ErrorCode.NotAuthorized, NOT_AUTHORIZED);
            }
            this.#transaction = {
                key: this.#options.transactionKey(),
                readOnly,
                route,
                customer: customerOf(identification),
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
        const ordered = this.#sessionState.resolve(statement);
        if (ordered === undefined) {
            return this.#fail(ErrorCode.UnknownStatement, "there is no such prepared statement");
        }
        const transaction = this.#transaction;
        if (transaction?.endpoint !== undefined) {
            transaction.wrote ||= isWrite(ordered);
            return this.#continue(request, transaction, ordered, now);
        }
        const route = transaction?.route ?? this.#route();
        if (route === undefined) {
            return errorAnswer(ErrorCode.UnknownDatabase, this.#options.caller.database, TransactionStates.Idle);
        }
        const identification = this.#identify(route);
        if (identification.kind === "notAuthorized") {
            return this.#fail(ErrorCode.NotAuthorized, NOT_AUTHORIZED);
        }
        const group = transaction?.group ?? this.#options.group(route.group);
        this.#outstandingGroup = group;
        const customer = transaction === undefined ? customerOf(identification) : transaction.customer;
        const served = await this.#options.server.serve({
            requestId: request.id,
            session: this.#id,
            route,
            customer,
            statement: ordered,
            values: this.#sessionState.values,
            floor: this.#floor,
            transaction,
            arrivedAt: now,
            hasLeft: () => this.#isClosed,
        }, group);
        this.#report({ request, route, group, customer, transaction: transaction?.key }, served, now);
        if (transaction !== undefined) {
            transaction.requestId = request.id;
            return this.#firstStatementFinished(transaction, served, isWrite(ordered));
        }
        if (isWrite(ordered) && served.answer.completion.kind === "done") {
            this.#committed(served.answer.position);
        }
        return served.answer;
    }

    /** Updates a transaction with the result of its first statement. */
    #firstStatementFinished(transaction: Transaction, served: ServeResult, wrote: boolean): Answer {
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
        const { endpoint, key, route, group, customer } = transaction;
        const outcome = { answer, endpoint, attempts: 1, waitedMs: 0, cause: causeOf(result) };
        this.#report({ request, route, group, customer, transaction: key }, outcome, now);
        transaction.requestId = request.id;
        if (statement.kind !== "commit" && answer.state === TransactionStates.Failed) {
            this.#rollBack(transaction);
            transaction.failure = outcome.cause ?? "a statement failed";
        }
        return answer;
    }

    #order(request: CallerRequest, transaction: Transaction, statement: StatementOrder["statement"]): StatementOrder {
        const { route, customer, key, endpoint } = transaction;
        return {
            group: route.group,
            endpoint: endpoint ?? "",
            requestId: request.id,
            session: this.#id,
            statement,
            opening: { kind: "continued" },
            transaction: key,
            values: this.#sessionState.values,
            customer: customer?.name,
            weight: customer?.weight,
            priority: route.priority,
            targetMs: undefined,
            patienceMs: route.timeoutMs,
            timeoutMs: route.timeoutMs,
        };
    }

    /** Returns the caller's answer for the result of a statement within its transaction. */
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
        // Without a commit the endpoint rolls back; without a write there is nothing to commit.
        return errorAnswer(ErrorCode.Aborted, `the transaction is rolled back (${result.reason})`, state);
    }

    async #commit(request: CallerRequest, now: number): Promise<Answer> {
        const transaction = this.#transaction;
        if (transaction === undefined) {
            return this.#done();
        }
        const answer = transaction.endpoint === undefined
            ? await this.#commitEmpty(request, transaction, now)
            : await this.#continue(request, transaction, { kind: "commit", wrote: transaction.wrote }, now);
        this.#transaction = undefined;
        if (answer.completion.kind === "done" && transaction.wrote) {
            this.#committed(answer.position);
        }
        return { ...answer, state: TransactionStates.Idle };
    }

    /** Commits a transaction without statements. An endpoint does it too, since its answer carries a signature. */
    async #commitEmpty(request: CallerRequest, transaction: Transaction, now: number): Promise<Answer> {
        const { route, group, customer } = transaction;
        this.#outstandingGroup = group;
        const served = await this.#options.server.serve({
            requestId: request.id,
            session: this.#id,
            route,
            customer,
            statement: { kind: "commit", wrote: false },
            values: this.#sessionState.values,
            floor: this.#floor,
            transaction,
            arrivedAt: now,
            hasLeft: () => this.#isClosed,
        }, group);
        this.#report({ request, route, group, customer, transaction: transaction.key }, served, now);
        return served.answer;
    }

    /** Answers a request in a failed transaction, in which only commit and rollback are accepted. */
    #answerInFailedTransaction(request: CallerRequest, transaction: Transaction, now: number): Answer {
        const { statement } = request;
        if (statement.kind === "rollback") {
            this.#transaction = undefined;
            return this.#done();
        }
        const isCommit = statement.kind === "commit";
        const state = isCommit ? TransactionStates.Idle : TransactionStates.Failed;
        const text = `the transaction is rolled back (${transaction.failure ?? ""})`;
        const answer = errorAnswer(ErrorCode.Aborted, text, state);
        const { endpoint, key, route, group, customer } = transaction;
        const cause = `rolled back after ${transaction.requestId}: ${transaction.failure ?? ""}`;
        this.#report(
            { request, route, group, customer, transaction: key },
            { answer, endpoint, attempts: 0, waitedMs: 0, cause },
            now,
        );
        if (isCommit) {
            this.#transaction = undefined;
        }
        return answer;
    }

    #identify(route: Route): Identification {
        return this.#options.identity.identify(route, this.#options.routing());
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
        request: Pick<ReportedRequest, "request" | "route" | "group" | "customer" | "transaction">,
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
