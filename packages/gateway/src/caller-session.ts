import type { Clock } from "@medlarledge/runtime";
import {
    type Answer,
    type Caller,
    type CallerHandler,
    type CallerRequest,
    compareLogPositions,
    ErrorCode,
    failed,
    type LogPosition,
    type Order,
    type OrderResult,
    type Statement,
    type TransactionState,
    TransactionStates,
} from "@medlarledge/statements";
import type { GatewayListener } from "./gateway-event.js";
import type { Group } from "./group.js";
import { NOT_RUN_CODES } from "./not-run.js";
import type { Route, Routing } from "./route.js";
import { type RunnableStatement, SessionImage, writes } from "./session-image.js";
import type { Served, StatementServer } from "./statement-server.js";

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
    failed: boolean;
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
    close(): void {
        this.#options.caller.close();
        this.closed();
    }

    /** Rolls back a transaction that may not go on; its caller learns it at the next statement. */
    abortTransaction(): void {
        const transaction = this.#transaction;
        if (transaction !== undefined && !this.#isBusy) {
            this.#rollBack(transaction);
            transaction.failed = true;
        }
    }

    async #work(): Promise<void> {
        this.#isBusy = true;
        clearTimeout(this.#idleTimer);
        for (let request = this.#queue.shift(); request !== undefined; request = this.#queue.shift()) {
            const answer = await this.#serve(request, this.#options.clock.now());
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
        if (this.#transaction?.endpoint !== undefined && !this.#transaction.failed) {
            const { transactionIdleMs } = this.#options.routing();
            this.#idleTimer = setTimeout(() => this.abortTransaction(), transactionIdleMs);
        }
        this.#options.idle(this);
    }

    #serve(request: CallerRequest, now: number): Answer | Promise<Answer> {
        const { statement } = request;
        if (this.#transaction?.failed === true) {
            return this.#answerFailed(statement);
        }
        switch (statement.kind) {
            case "begin":
                return this.#begin(statement.readOnly);
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

    #begin(readOnly: boolean): Answer {
        if (this.#transaction === undefined) {
            const route = this.#route();
            if (route === undefined) {
                return failed(ErrorCode.UnknownDatabase, this.#options.caller.database, TransactionStates.Idle);
            }
            this.#transaction = {
                key: this.#options.transactionKey(),
                readOnly,
                route,
                group: this.#options.group(route.group),
                endpoint: undefined,
                wrote: false,
                failed: false,
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
            return failed(ErrorCode.UnknownDatabase, this.#options.caller.database, TransactionStates.Idle);
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
        this.#report(request, route, served, now, served.endpoint === group.primary());
        if (transaction !== undefined) {
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
        transaction.failed = true;
        return { ...answer, state: TransactionStates.Failed };
    }

    async #continue(
        request: CallerRequest,
        transaction: Transaction,
        statement: Order["statement"],
        now: number,
    ): Promise<Answer> {
        const result = await transaction.group.run(this.#order(request, transaction, statement), false);
        const answer = this.#answerOf(result, transaction, statement);
        const { endpoint, key } = transaction;
        const served = { answer, endpoint, transaction: key, attempts: 1, cause: causeOf(result) };
        this.#report(request, transaction.route, served, now, endpoint === transaction.group.primary());
        if (statement.kind !== "commit" && answer.state === TransactionStates.Failed) {
            this.#rollBack(transaction);
            transaction.failed = true;
        }
        return answer;
    }

    #order(request: CallerRequest, transaction: Transaction, statement: Order["statement"]): Order {
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
    #answerOf(result: OrderResult, transaction: Transaction, statement: Order["statement"]): Answer {
        const isCommit = statement.kind === "commit";
        const state = isCommit ? TransactionStates.Idle : TransactionStates.Failed;
        if (result.kind === "answered") {
            const { answer } = result;
            return answer.completion.kind === "done" ? answer : { ...answer, state };
        }
        if (result.kind === "notRun") {
            return failed(NOT_RUN_CODES[result.reason], `the transaction is rolled back (${result.reason})`, state);
        }
        if (isCommit && transaction.wrote) {
            return failed(ErrorCode.Unknown, `the commit was sent and not answered (${result.reason})`, state);
        }
        // Without its commit the endpoint keeps nothing; without a write there is nothing to keep.
        return failed(ErrorCode.Aborted, `the transaction is rolled back (${result.reason})`, state);
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
        this.#report(request, route, served, now, served.endpoint === group.primary());
        return served.answer;
    }

    /** In a failed transaction only its end is accepted. */
    #answerFailed(statement: Statement): Answer {
        if (statement.kind === "rollback" || statement.kind === "commit") {
            this.#transaction = undefined;
            return statement.kind === "rollback"
                ? this.#done()
                : failed(ErrorCode.Aborted, "the transaction had failed", TransactionStates.Idle);
        }
        return failed(ErrorCode.Aborted, "the transaction is rolled back", TransactionStates.Failed);
    }

    #fail(code: ErrorCode, text: string): Answer {
        const transaction = this.#transaction;
        if (transaction === undefined) {
            return failed(code, text, TransactionStates.Idle);
        }
        this.#rollBack(transaction);
        transaction.failed = true;
        return failed(code, text, TransactionStates.Failed);
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
        if (transaction !== undefined && !transaction.failed) {
            this.#rollBack(transaction);
        }
    }

    #rollBack({ group, endpoint, key }: Transaction): void {
        if (endpoint !== undefined) {
            group.endTransaction(endpoint, key);
        }
    }

    #route(): Route | undefined {
        return this.#options.routing().routes.get(this.#options.caller.database);
    }

    #report(request: CallerRequest, route: Route, served: Served, arrivedAt: number, onPrimary: boolean): void {
        const { answer, endpoint, attempts, cause } = served;
        const latencyMs = this.#options.clock.now() - arrivedAt;
        const common = { requestId: request.id, database: route.database, endpoint, latencyMs, attempts };
        if (answer.completion.kind === "done") {
            this.#options.listener({ kind: "served", ...common, onPrimary });
            return;
        }
        const { code } = answer.completion;
        const configuration = this.#options.routing().number;
        this.#options.listener({
            kind: "refused",
            ...common,
            group: route.group,
            code,
            cause: cause ?? code,
            configuration,
        });
    }
}

function causeOf(result: OrderResult): string | undefined {
    return result.kind === "answered" ? undefined : result.reason;
}
