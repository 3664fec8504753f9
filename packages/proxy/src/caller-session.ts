import { BrokenTransaction } from "./broken-transaction.js";
import { CallerFlow } from "./caller-flow.js";
import type { ConnectionCheckout } from "./connection-checkout.js";
import type { DatabaseContext } from "./database-context.js";
import type { ExecutionHost } from "./execution-host.js";
import { Execution } from "./execution.js";
import { ErrorCode, failures } from "./failure.js";
import type { Failure } from "./failure.js";
import { localAnswer } from "./local-answer.js";
import type { LocalResult } from "./local-answer.js";
import { FromCaller, TransactionStatus } from "./message-type.js";
import { errorResponse, readyForQuery } from "./messages.js";
import { OwnStatements } from "./own-statements.js";
import type { CallerConnection, CallerHandler, Classifier, Frame, SessionState, TokenCodec } from "./ports.js";
import { CallerStatements } from "./prepared-statements.js";
import type { StatementNames } from "./prepared-statements.js";
import { RequestAssembly } from "./request-assembly.js";
import type { Request } from "./request-assembly.js";
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
export class CallerSession implements CallerHandler, ExecutionHost {
    readonly caller: CallerConnection;
    readonly session: SessionState;
    readonly statements = new CallerStatements();
    readonly #options: CallerSessionOptions;
    readonly #assembly = new RequestAssembly(MAX_BUFFERED_BYTES);
    readonly #execution: Execution;
    readonly #reserved: ReservedConnection;
    readonly #broken = new BrokenTransaction();
    readonly #own: OwnStatements;
    readonly #queue = new RequestQueue();
    readonly #flow: CallerFlow;
    /** A request that was answered with an error before its Sync arrived, and the status to report at the Sync. */
    #skipped: { readonly request: Request; readonly status: number; } | undefined;
    #running: Request | undefined;
    #plan: RequestPlan | undefined;
    #pumping = false;
    #closed = false;

    constructor(options: CallerSessionOptions) {
        this.#options = options;
        this.caller = options.caller;
        this.session = options.session;
        this.#flow = new CallerFlow(options.caller);
        this.#execution = new Execution(this, options.database, options.tokens, options.names);
        this.#own = new OwnStatements(options.database, options.session, options.tokens);
        this.#reserved = new ReservedConnection(options.caller, (inTransaction, reason) => {
            this.#handleReservedConnectionLoss(inTransaction, reason);
        });
    }

    /** Takes the token of the start-up options and begins to serve. */
    begin(): void {
        const token = this.caller.options.get("medlarledge.session");
        const refusal = token === undefined || token === "" ? undefined : this.#own.acceptToken(token);
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
    get atBoundary(): boolean {
        return !this.#execution.active && this.#queue.empty && this.#skipped === undefined
            && !this.#reserved.inTransaction && !this.#reserved.isRollingBack && !this.#broken.active
            && !this.#assembly.partial;
    }

    frames(frames: readonly Frame[]): void {
        for (const frame of frames) {
            if (this.#closed) {
                return;
            }
            this.#frame(frame);
        }
        this.#execution.extended();
        this.#pump();
        this.#updatePause();
    }

    drained(): void {
        this.#flow.callerFull = false;
        this.#execution.callerDrained();
        this.#pump();
        this.#updatePause();
    }

    closed(): void {
        if (this.#closed) {
            return;
        }
        this.#closed = true;
        this.#queue.clear();
        this.#execution.abort();
        this.#reserved.returnToPool();
        this.#options.ended(this);
    }

    /** Stops the statement that runs now. */
    cancel(): boolean {
        return this.#execution.cancel();
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

    completed(checkout: ConnectionCheckout | undefined, failure: Failure | undefined): void {
        const request = this.#running;
        const plan = this.#plan;
        this.#running = undefined;
        if (plan !== undefined && checkout !== undefined && failure === undefined) {
            this.#noteSession(plan, checkout);
        }
        const hadSession = this.#reserved.pinned;
        if (checkout !== undefined) {
            this.#reserved.reserveOrRelease(checkout);
        }
        if (failure !== undefined) {
            this.#noteFailure(failure, request, checkout);
        }
        if (hadSession && this.#reserved.checkout === undefined) {
            this.terminate(ErrorCode.ConnectionFailure, "the connection that held the session's state was lost");
            return;
        }
        this.#flow.endpointFull = false;
        this.#pump();
        this.#updatePause();
    }

    callerFull(): void {
        this.#flow.callerFull = true;
    }

    endpointFull(full: boolean): void {
        this.#flow.endpointFull = full;
        this.#updatePause();
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
        if (this.#skipped?.request.complete === true) {
            const { status } = this.#skipped;
            this.#skipped = undefined;
            this.caller.send(readyForQuery(status));
        }
        else {
            this.#skipped?.request.frames.splice(0);
        }
        if (request !== undefined) {
            this.#queue.push(request);
        }
    }

    /** Passes on what belongs to a running COPY. */
    #copyFrame(frame: Frame): boolean {
        const isData = frame.type === FromCaller.CopyData || frame.type === FromCaller.CopyDone
            || frame.type === FromCaller.CopyFail;
        if (this.#execution.copying && (isData || frame.type === FromCaller.Sync || frame.type === FromCaller.Flush)) {
            this.#execution.copy(frame);
            return true;
        }
        return isData;
    }

    #pump(): void {
        if (this.#pumping) {
            return;
        }
        this.#pumping = true;
        while (
            !this.#closed && !this.#execution.active && !this.#flow.callerFull && this.#skipped === undefined
            && !this.#reserved.isRollingBack
        ) {
            const request = this.#queue.shift();
            if (request === undefined) {
                break;
            }
            this.#start(request);
        }
        this.#pumping = false;
        if (!this.#closed && this.atBoundary) {
            this.#options.idle(this);
        }
    }

    #start(request: Request): void {
        const plan = planOf(request, this.#options.classifier, this.#options.names, this.statements);
        if (this.#broken.active) {
            const { local, status } = this.#broken.answer(plan);
            this.#answerLocally(request, local, status);
        }
        else if (isBareSync(request)) {
            this.#reply(request, readyForQuery(this.#reserved.status));
        }
        else if (this.#refusal(plan) !== undefined) {
            this.#refuse(request, this.#refusal(plan) ?? "");
        }
        else if (plan.own !== undefined) {
            this.#answerLocally(request, this.#own.run(plan.own), this.#reserved.status);
        }
        else {
            this.#execute(request, plan);
        }
    }

    #execute(request: Request, plan: RequestPlan): void {
        const { caller, database } = this.#options;
        this.#running = request;
        this.#plan = plan;
        this.#execution.start(
            request,
            plan,
            database.environment.source.classFor(database.name, caller.user, caller.applicationName, plan.comment),
            this.#reserved.takeCheckout(),
        );
    }

    #refusal(plan: RequestPlan): string | undefined {
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
            this.#broken.begin(true, failure.text);
            this.#reserved.rollBack(() => {
                this.#pump();
            });
        }
        this.#finishLocally(request, error, status);
    }

    #answerLocally(request: Request, local: LocalResult, status: number): void {
        this.#finishLocally(request, localAnswer(request, local), status);
    }

    #finishLocally(request: Request, answer: Uint8Array, status: number): void {
        if (request.complete) {
            this.#reply(request, Buffer.concat([answer, readyForQuery(status)]));
        }
        else {
            this.#skipped = { request, status };
            this.#reply(request, answer);
        }
    }

    #reply(request: Request, answer: Uint8Array): void {
        request.frames.length = 0;
        if (!this.caller.send(answer)) {
            this.#flow.callerFull = true;
        }
    }

    #noteSession(plan: RequestPlan, checkout: ConnectionCheckout): void {
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

    #noteFailure(failure: Failure, request: Request | undefined, checkout: ConnectionCheckout | undefined): void {
        if (failure.status === TransactionStatus.Failed && checkout === undefined) {
            this.#broken.begin(true, failure.text);
        }
        if (request?.complete === false) {
            this.#skipped = { request, status: failure.status };
        }
    }

    #handleReservedConnectionLoss(inTransaction: boolean, reason: string): void {
        if (this.#reserved.pinned) {
            this.#reserved.pinned = false;
            this.terminate(ErrorCode.ConnectionFailure, "the connection that held the session's state was lost");
        }
        else if (inTransaction) {
            this.#broken.begin(false, `connection lost: ${reason}`);
        }
    }

    #updatePause(): void {
        if (!this.#closed) {
            this.#flow.update(this.#queue.full);
        }
    }
}

function isBareSync(request: Request): boolean {
    return request.frames.length === 1 && request.frames[0]?.type === FromCaller.Sync;
}
