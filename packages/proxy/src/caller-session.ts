import { AbortedTransaction } from "./aborted-transaction.js";
import { CallerFlowControl } from "./caller-flow-control.js";
import type { ConnectionCheckout } from "./connection-checkout.js";
import type { DatabaseContext } from "./database-context.js";
import type { ExecutionContext } from "./execution-context.js";
import { localResponse } from "./local-response.js";
import type { LocalResult } from "./local-response.js";
import { FromCaller, TransactionStatus } from "./message-type.js";
import { errorResponse, readyForQuery } from "./messages.js";
import type { CallerConnection, CallerHandler, Classifier, Frame, SessionState, TokenCodec } from "./ports.js";
import { CallerStatements } from "./prepared-statements.js";
import type { StatementNames } from "./prepared-statements.js";
import { ProxySettings } from "./proxy-settings.js";
import { RequestAssembly } from "./request-assembly.js";
import type { Request } from "./request-assembly.js";
import { RequestExecutor } from "./request-executor.js";
import { ErrorCode, failures } from "./request-failure.js";
import type { RequestFailure } from "./request-failure.js";
import { planOf } from "./request-plan.js";
import type { RequestPlan } from "./request-plan.js";
import { RequestQueue } from "./request-queue.js";
import { ReservedConnection } from "./reserved-connection.js";

/** A request larger than this starts before its end has arrived. */
const MAX_BUFFERED_BYTES = 1 << 20;

export interface CallerSessionOptions {
    readonly caller: CallerConnection;
    readonly database: DatabaseContext;
    readonly classifier: Classifier;
    readonly tokens: TokenCodec;
    readonly names: StatementNames;
    readonly session: SessionState;
    /** The caller is gone. */
    readonly ended: (session: CallerSession) => void;
    /** The caller is at a request boundary with nothing to do. */
    readonly idle: (session: CallerSession) => void;
}

/** One caller: takes its requests in order and runs one at a time. */
export class CallerSession implements CallerHandler, ExecutionContext {
    readonly caller: CallerConnection;
    readonly session: SessionState;
    readonly statements = new CallerStatements();
    readonly #options: CallerSessionOptions;
    readonly #assembly = new RequestAssembly(MAX_BUFFERED_BYTES);
    readonly #executor: RequestExecutor;
    readonly #reserved: ReservedConnection;
    readonly #abortedTransaction = new AbortedTransaction();
    readonly #settings: ProxySettings;
    readonly #queue = new RequestQueue();
    readonly #flowControl: CallerFlowControl;
    /** A request that was answered with an error before its Sync arrived, and the status to report at the Sync. */
    #rejected: { readonly request: Request; readonly status: number; } | undefined;
    #runningRequest: Request | undefined;
    #runningPlan: RequestPlan | undefined;
    #isRunningQueue = false;
    #closed = false;

    constructor(options: CallerSessionOptions) {
        this.#options = options;
        this.caller = options.caller;
        this.session = options.session;
        this.#flowControl = new CallerFlowControl(options.caller);
        this.#executor = new RequestExecutor(this, options.database, options.tokens, options.names);
        this.#settings = new ProxySettings(options.database, options.session, options.tokens);
        this.#reserved = new ReservedConnection(options.caller, (inTransaction, reason) => {
            this.#handleReservedConnectionLoss(inTransaction, reason);
        });
    }

    /** Takes the token of the start-up options and begins to serve. */
    begin(): void {
        const token = this.caller.options.get("medlarledge.session");
        const refusal = token === undefined || token === "" ? undefined : this.#settings.acceptToken(token);
        if (refusal !== undefined) {
            this.terminate(ErrorCode.TokenRefused, `session token refused: ${refusal}`);
            return;
        }
        this.caller.setHandler(this);
    }

    get pinned(): boolean {
        return this.#reserved.pinned;
    }

    /** No request runs or waits, and no transaction is open. */
    get isAtRequestBoundary(): boolean {
        return !this.#executor.active && this.#queue.empty && this.#rejected === undefined
            && !this.#reserved.inTransaction && !this.#reserved.isRollingBack && !this.#abortedTransaction.active
            && !this.#assembly.partial;
    }

    frames(frames: readonly Frame[]): void {
        for (const frame of frames) {
            if (this.#closed) {
                return;
            }
            this.#frame(frame);
        }
        this.#executor.requestExtended();
        this.#runQueuedRequests();
        this.#updateFlowControl();
    }

    drained(): void {
        this.#flowControl.callerBufferFull = false;
        this.#executor.callerDrained();
        this.#runQueuedRequests();
        this.#updateFlowControl();
    }

    closed(): void {
        if (this.#closed) {
            return;
        }
        this.#closed = true;
        this.#queue.clear();
        this.#executor.abort();
        this.#reserved.returnToPool();
        this.#options.ended(this);
    }

    /** Stops the statement that runs now. */
    cancel(): boolean {
        return this.#executor.cancel();
    }

    /** Ends the connection with an error. */
    terminate(code: string, text: string): void {
        if (this.#closed) {
            return;
        }
        this.caller.send(errorResponse(code, text, "FATAL"));
        this.caller.close();
        this.closed();
    }

    requestCompleted(checkout: ConnectionCheckout | undefined, failure: RequestFailure | undefined): void {
        const request = this.#runningRequest;
        const plan = this.#runningPlan;
        this.#runningRequest = undefined;
        if (plan !== undefined && checkout !== undefined && failure === undefined) {
            this.#updateSessionState(plan, checkout);
        }
        const hadSession = this.#reserved.pinned;
        if (checkout !== undefined) {
            this.#reserved.reserveOrRelease(checkout);
        }
        if (failure !== undefined) {
            this.#recordFailure(failure, request, checkout);
        }
        if (hadSession && this.#reserved.checkout === undefined) {
            this.terminate(ErrorCode.ConnectionFailure, "the connection that held the session's state was lost");
            return;
        }
        this.#flowControl.endpointBufferFull = false;
        this.#runQueuedRequests();
        this.#updateFlowControl();
    }

    callerBufferFull(): void {
        this.#flowControl.callerBufferFull = true;
    }

    setEndpointBufferFull(full: boolean): void {
        this.#flowControl.endpointBufferFull = full;
        this.#updateFlowControl();
    }

    #frame(frame: Frame): void {
        if (frame.type === FromCaller.Terminate) {
            this.caller.close();
            this.closed();
            return;
        }
        if (this.#copyFrame(frame)) {
            return;
        }
        const request = this.#assembly.push(frame, this.#options.database.environment.clock());
        if (this.#rejected?.request.complete === true) {
            const { status } = this.#rejected;
            this.#rejected = undefined;
            this.caller.send(readyForQuery(status));
        }
        else {
            this.#rejected?.request.frames.splice(0);
        }
        if (request !== undefined) {
            this.#queue.push(request);
        }
    }

    /** Passes on what belongs to a running COPY. */
    #copyFrame(frame: Frame): boolean {
        const isData = frame.type === FromCaller.CopyData || frame.type === FromCaller.CopyDone
            || frame.type === FromCaller.CopyFail;
        if (this.#executor.isCopying && (isData || frame.type === FromCaller.Sync || frame.type === FromCaller.Flush)) {
            this.#executor.copy(frame);
            return true;
        }
        return isData;
    }

    #runQueuedRequests(): void {
        if (this.#isRunningQueue) {
            return;
        }
        this.#isRunningQueue = true;
        while (
            !this.#closed && !this.#executor.active && !this.#flowControl.callerBufferFull
            && this.#rejected === undefined
            && !this.#reserved.isRollingBack
        ) {
            const request = this.#queue.shift();
            if (request === undefined) {
                break;
            }
            this.#start(request);
        }
        this.#isRunningQueue = false;
        if (!this.#closed && this.isAtRequestBoundary) {
            this.#options.idle(this);
        }
    }

    #start(request: Request): void {
        const plan = planOf(request, this.#options.classifier, this.#options.names, this.statements);
        if (this.#abortedTransaction.active) {
            const { local, status } = this.#abortedTransaction.answer(plan);
            this.#respondLocally(request, local, status);
        }
        else if (isBareSync(request)) {
            this.#reply(request, readyForQuery(this.#reserved.status));
        }
        else if (this.#refusalReason(plan) !== undefined) {
            this.#refuse(request, this.#refusalReason(plan) ?? "");
        }
        else if (plan.own !== undefined) {
            this.#respondLocally(request, this.#settings.run(plan.own), this.#reserved.status);
        }
        else {
            this.#execute(request, plan);
        }
    }

    #execute(request: Request, plan: RequestPlan): void {
        const { caller, database } = this.#options;
        this.#runningRequest = request;
        this.#runningPlan = plan;
        this.#executor.start(
            request,
            plan,
            database.environment.source.classFor(database.name, caller.user, caller.applicationName, plan.comment),
            this.#reserved.takeCheckout(),
        );
    }

    #refusalReason(plan: RequestPlan): string | undefined {
        if (plan.transactionOnly && plan.executes && this.#reserved.checkout === undefined) {
            return "it reads what an earlier statement left on a connection; use a transaction";
        }
        return plan.refusal;
    }

    /** Refuses a request as not run. A transaction that it was part of fails, as with any error in PostgreSQL. */
    #refuse(request: Request, text: string): void {
        const failure = failures.cannotBePooled(text);
        const error = errorResponse(failure.code, failure.text);
        const inTransaction = this.#reserved.inTransaction;
        const status = inTransaction ? TransactionStatus.Failed : failure.status;
        if (inTransaction) {
            this.#abortedTransaction.begin(true, failure.text);
            this.#reserved.rollBack(() => {
                this.#runQueuedRequests();
            });
        }
        this.#finishLocally(request, error, status);
    }

    #respondLocally(request: Request, local: LocalResult, status: number): void {
        this.#finishLocally(request, localResponse(request, local), status);
    }

    #finishLocally(request: Request, answer: Uint8Array, status: number): void {
        if (request.complete) {
            this.#reply(request, Buffer.concat([answer, readyForQuery(status)]));
        }
        else {
            this.#rejected = { request, status };
            this.#reply(request, answer);
        }
    }

    #reply(request: Request, answer: Uint8Array): void {
        request.frames.length = 0;
        if (!this.caller.send(answer)) {
            this.#flowControl.callerBufferFull = true;
        }
    }

    #updateSessionState(plan: RequestPlan, checkout: ConnectionCheckout): void {
        if (plan.resets !== "none") {
            this.statements.clear();
            checkout.connection.statements.clear();
        }
        if (plan.resets === "all") {
            this.#reserved.pinned = false;
        }
        else if (plan.pins) {
            this.#reserved.pinned = true;
            checkout.connection.dirty = true;
        }
    }

    #recordFailure(
        failure: RequestFailure,
        request: Request | undefined,
        checkout: ConnectionCheckout | undefined,
    ): void {
        if (failure.status === TransactionStatus.Failed && checkout === undefined) {
            this.#abortedTransaction.begin(true, failure.text);
        }
        if (request?.complete === false) {
            this.#rejected = { request, status: failure.status };
        }
    }

    #handleReservedConnectionLoss(inTransaction: boolean, reason: string): void {
        if (this.#reserved.pinned) {
            this.#reserved.pinned = false;
            this.terminate(ErrorCode.ConnectionFailure, "the connection that held the session's state was lost");
        }
        else if (inTransaction) {
            this.#abortedTransaction.begin(false, `connection lost: ${reason}`);
        }
    }

    #updateFlowControl(): void {
        if (!this.#closed) {
            this.#flowControl.update(this.#queue.full);
        }
    }
}

function isBareSync(request: Request): boolean {
    return request.frames.length === 1 && request.frames[0]?.type === FromCaller.Sync;
}
