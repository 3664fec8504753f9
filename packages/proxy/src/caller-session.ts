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
import type { PreparedStatementRegistry } from "./prepared-statements.js";
import { ProxySettings } from "./proxy-settings.js";
import { RequestAssembler } from "./request-assembler.js";
import type { Request } from "./request-assembler.js";
import { RequestExecutor } from "./request-executor.js";
import { ErrorCode, failures } from "./request-failure.js";
import type { RequestFailure } from "./request-failure.js";
import { planRequest } from "./request-plan.js";
import type { RequestPlan } from "./request-plan.js";
import { RequestQueue } from "./request-queue.js";
import { ReservedConnection } from "./reserved-connection.js";

/** A request larger than this starts before its Sync has arrived. */
const MAX_BUFFERED_BYTES = 1 << 20;

export interface CallerSessionOptions {
    readonly caller: CallerConnection;
    readonly database: DatabaseContext;
    readonly classifier: Classifier;
    readonly tokens: TokenCodec;
    readonly registry: PreparedStatementRegistry;
    readonly session: SessionState;
    /** Called when the caller disconnected or was closed. */
    readonly ended: (session: CallerSession) => void;
    /** Called when the caller is at a request boundary: no request runs or waits and no transaction is open. */
    readonly idle: (session: CallerSession) => void;
}

/** The session of one caller: queues its requests and runs them one at a time, in order. */
export class CallerSession implements CallerHandler, ExecutionContext {
    readonly caller: CallerConnection;
    readonly session: SessionState;
    readonly statements = new CallerStatements();
    readonly #options: CallerSessionOptions;
    readonly #assembly = new RequestAssembler(MAX_BUFFERED_BYTES);
    readonly #executor: RequestExecutor;
    readonly #reserved: ReservedConnection;
    readonly #abortedTransaction = new AbortedTransaction();
    readonly #settings: ProxySettings;
    readonly #queue = new RequestQueue();
    readonly #flowControl: CallerFlowControl;
    /** A request that got an error before its Sync arrived, and the transaction status to report at the Sync. */
    #rejected: { readonly request: Request; readonly status: number; } | undefined;
    #runningRequest: Request | undefined;
    #runningPlan: RequestPlan | undefined;
    #isRunningQueue = false;
    #isClosed = false;

    constructor(options: CallerSessionOptions) {
        this.#options = options;
        this.caller = options.caller;
        this.session = options.session;
        this.#flowControl = new CallerFlowControl(options.caller);
        this.#executor = new RequestExecutor(this, options.database, options.tokens, options.registry);
        this.#settings = new ProxySettings(options.database, options.session, options.tokens);
        this.#reserved = new ReservedConnection(options.caller, (inTransaction, reason) => {
            this.#handleReservedConnectionLoss(inTransaction, reason);
        });
    }

    /** Accepts the session token of the start-up options, if any, and begins to receive requests. */
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
        return !this.#executor.active && this.#queue.isEmpty && this.#rejected === undefined
            && !this.#reserved.inTransaction && !this.#reserved.isRollingBack && !this.#abortedTransaction.active
            && !this.#assembly.partial;
    }

    frames(frames: readonly Frame[]): void {
        for (const frame of frames) {
            if (this.#isClosed) {
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
        if (this.#isClosed) {
            return;
        }
        this.#isClosed = true;
        this.#queue.clear();
        this.#executor.abort();
        this.#reserved.returnToPool();
        this.#options.ended(this);
    }

    /** Cancels the running statement. Returns false when none is running. */
    cancel(): boolean {
        return this.#executor.cancel();
    }

    /** Sends a FATAL error and closes the connection. */
    terminate(code: string, text: string): void {
        if (this.#isClosed) {
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
        const hadSessionState = this.#reserved.pinned;
        if (checkout !== undefined) {
            this.#reserved.reserveOrRelease(checkout);
        }
        if (failure !== undefined) {
            this.#recordFailure(failure, request, checkout);
        }
        if (hadSessionState && this.#reserved.checkout === undefined) {
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

    /** Forwards messages of a running COPY. Returns true when the message needs no further handling. */
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
            !this.#isClosed && !this.#executor.active && !this.#flowControl.callerBufferFull
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
        if (!this.#isClosed && this.isAtRequestBoundary) {
            this.#options.idle(this);
        }
    }

    #start(request: Request): void {
        const plan = planRequest(request, this.#options.classifier, this.#options.registry, this.statements);
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

    /** Refuses a request as not run. A transaction that contains it fails, as with any error in PostgreSQL. */
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
            checkout.connection.hasSessionState = true;
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
        if (!this.#isClosed) {
            this.#flowControl.update(this.#queue.isFull);
        }
    }
}

function isBareSync(request: Request): boolean {
    return request.frames.length === 1 && request.frames[0]?.type === FromCaller.Sync;
}
