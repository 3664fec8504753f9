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
    type Statement,
    type StatementOrder,
    type StatementOrderResult,
    type TransactionState,
    TransactionStates,
} from "@medlarledge/statements";
import { type CallerIdentity, customerOf, needsKey } from "./caller-identity.js";
import { type GatewayListener, KeyRefusal } from "./gateway-event.js";
import type { Group } from "./group.js";
import { NOT_RUN_CODES } from "./not-run-codes.js";
import { giveBackAdmission, type OperationLimits, refusedByLimit } from "./operation-limits.js";
import { type Outcome, type ReportedRequest, reportOutcome } from "./request-report.js";
import type { Route, Routing } from "./route.js";
import { isWrite, type RunnableStatement, SessionState } from "./session-state.js";
import type { ServeResult, StatementRouter } from "./statement-router.js";

/** Cause that is logged when an idle transaction is rolled back. */
const IDLE_CAUSE = "its caller was idle for too long";

/** Cause that is logged when the sessions of a revoked key are ended. */
const REVOKED_CAUSE = "its key is no longer in the configuration";

/** Text of the answer to a request whose key is not in the configuration in force. */
const NOT_AUTHORIZED = "the key is unknown or revoked";

/** Text of the answer while this host may not accept keys; another host is reached after about this time. */
const KEYS_NOT_ACCEPTED = "not run (this host cannot confirm that keys are valid); retry in 200 ms";

/** Statements that run on an endpoint, or begin a transaction that does. */
const RUNNING_KINDS: ReadonlySet<Statement["kind"]> = new Set(["begin", "commit", "read", "write", "execute"]);

/** How a session of a revoked key was ended. */
export type SessionRevocation = "closed" | "rolledBack";

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
    readonly limits: OperationLimits | undefined;
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
    /** Whether the caller's key was revoked: the next request is refused, and the session ends with its answer. */
    #isRevoked = false;

    constructor(options: SessionOptions) {
        this.#options = options;
        this.#id = options.transactionKey();
    }

    /** True while no request is outstanding and no transaction is open. */
    get isIdle(): boolean {
        return !this.#isBusy && this.#queue.length === 0 && this.#transaction === undefined;
    }

    /** True when the session's next request needs a key. */
    get needsKey(): boolean {
        const route = this.#transaction?.route ?? this.#route();
        return route !== undefined && needsKey(route, this.#options.routing());
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

    /**
     * Ends the session if the configuration in force does not have its key: at once while it is idle, otherwise with
     * the answer to its next request. An open transaction is rolled back. To be called when a configuration comes into
     * force. Returns how the session was ended; undefined if it goes on, or if a request is being served.
     */
    endIfRevoked(): SessionRevocation | undefined {
        if (this.#isBusy || this.#isRevoked || this.#isAuthorized()) {
            return undefined;
        }
        if (this.isIdle) {
            this.close(REVOKED_CAUSE);
            return "closed";
        }
        this.#isRevoked = true;
        this.abortTransaction(REVOKED_CAUSE);
        return "rolledBack";
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
            if (this.#isRevoked) {
                this.close(REVOKED_CAUSE);
                break;
            }
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
        const refusal = this.#keyRefusal(statement.kind);
        if (refusal !== undefined) {
            return this.#refuseKey(refusal, statement.kind);
        }
        if (this.#transaction?.failure !== undefined) {
            return this.#answerInFailedTransaction(request, this.#transaction, now);
        }
        switch (statement.kind) {
            case "begin":
                return this.#begin(request, statement.readOnly, now);
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

    async #begin(request: CallerRequest, readOnly: boolean, now: number): Promise<Answer> {
        if (this.#transaction === undefined) {
            const route = this.#route();
            if (route === undefined) {
                return errorAnswer(ErrorCode.UnknownDatabase, this.#options.caller.database, TransactionStates.Idle);
            }
            const customer = this.#customer(route);
            const group = this.#options.group(route.group);
            const refusal = await this.#refuseByLimit(request, route, group, customer, now);
            if (refusal !== undefined) {
                return refusal;
            }
            this.#transaction = {
                key: this.#options.transactionKey(),
                readOnly,
                route,
                customer,
                group,
                endpoint: undefined,
                wrote: false,
                failure: undefined,
                requestId: request.id,
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
        const group = transaction?.group ?? this.#options.group(route.group);
        const customer = transaction === undefined ? this.#customer(route) : transaction.customer;
        if (transaction === undefined) {
            const refusal = await this.#refuseByLimit(request, route, group, customer, now);
            if (refusal !== undefined) {
                return refusal;
            }
        }
        this.#outstandingGroup = group;
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
        if (served.attempts === 0) {
            giveBackAdmission(this.#options.limits, customer);
        }
        if (isWrite(ordered) && served.answer.completion.kind === "done") {
            this.#committed(served.answer.position);
        }
        return served.answer;
    }

    /** Returns the refusal of an operation that exceeds its customer's limit. */
    async #refuseByLimit(
        request: CallerRequest,
        route: Route,
        group: Group,
        customer: Customer | undefined,
        now: number,
    ): Promise<Answer | undefined> {
        const { limits } = this.#options;
        const refusal = await refusedByLimit(limits, customer);
        if (refusal === undefined && this.#isClosed) {
            giveBackAdmission(limits, customer);
            return errorAnswer(ErrorCode.Busy, "the caller has left", TransactionStates.Idle);
        }
        if (refusal !== undefined) {
            const outcome = { ...refusal, endpoint: undefined, attempts: 0, waitedMs: 0 };
            this.#report({ request, route, group, customer, transaction: undefined }, outcome, now);
        }
        return refusal?.answer;
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

    /** The customer of a request whose key was accepted on its arrival; undefined for an anonymous caller. */
    #customer(route: Route): Customer | undefined {
        const routing = this.#options.routing();
        return needsKey(route, routing) ? customerOf(this.#options.identity.ownerOf(routing)) : undefined;
    }

    /** Returns true unless the session's next request needs a key that the configuration in force does not have. */
    #isAuthorized(): boolean {
        if (!this.needsKey) {
            return true;
        }
        const owner = this.#options.identity.ownerOf(this.#options.routing());
        // The endpoint connection of an open transaction was opened in the name of the former owner.
        return owner.kind === "customer"
            && (this.#transaction === undefined || this.#transaction.customer?.name === owner.customer.name);
    }

    /** Returns why the caller's key does not permit a statement; undefined if it does, or if none is needed. */
    #keyRefusal(kind: Statement["kind"]): KeyRefusal | undefined {
        const route = this.#transaction?.route ?? this.#route();
        if (this.#isRevoked) {
            return KeyRefusal.NotAuthorized;
        }
        if (route === undefined || !RUNNING_KINDS.has(kind)) {
            return undefined;
        }
        const identification = this.#options.identity.identify(route, this.#options.routing());
        if (identification.kind === "unproved") {
            return KeyRefusal.Unproved;
        }
        return identification.kind === "anonymous" || this.#isAuthorized() ? undefined : KeyRefusal.NotAuthorized;
    }

    /** Refuses a request. Its transaction is rolled back, and after a refusal for good the session ends. */
    #refuseKey(refusal: KeyRefusal, kind: Statement["kind"]): Answer {
        const { caller, listener } = this.#options;
        listener({ kind: "keyRefused", database: caller.database, refusal });
        this.#isRevoked = refusal === KeyRefusal.NotAuthorized;
        const answer = this.#isRevoked
            ? this.#fail(ErrorCode.NotAuthorized, NOT_AUTHORIZED)
            : this.#fail(ErrorCode.Busy, KEYS_NOT_ACCEPTED);
        if (kind === "commit" || kind === "rollback") {
            this.#transaction = undefined;
            return { ...answer, state: TransactionStates.Idle };
        }
        return answer;
    }

    #fail(code: ErrorCode, text: string): Answer {
        const transaction = this.#transaction;
        if (transaction === undefined) {
            return errorAnswer(code, text, TransactionStates.Idle);
        }
        if (transaction.failure === undefined) {
            this.#rollBack(transaction);
            transaction.failure = text;
        }
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
