import type { Position } from "@medlarledge/protocol";
import { ActiveRequest } from "./active-request.js";
import type { AttemptListener } from "./attempt-start.js";
import { Attempt } from "./attempt.js";
import {
    cancelStatement,
    hasOpenTransaction,
    refusalForReserved,
    returnAfterDisconnect,
} from "./connection-checkout.js";
import type { ConnectionCheckout } from "./connection-checkout.js";
import type { DatabaseContext } from "./database-context.js";
import { EndpointSelection } from "./endpoint-selection.js";
import type { ExecutionContext } from "./execution-context.js";
import { FloorReporter } from "./floor-reporter.js";
import { TransactionStatus } from "./message-type.js";
import { errorResponse, primaryPosition, readyForQuery, replicaPosition } from "./messages.js";
import type { Frame, RequestClass, TokenCodec } from "./ports.js";
import { Outcome } from "./ports.js";
import type { PreparedStatementRegistry } from "./prepared-statements.js";
import type { Request } from "./request-assembler.js";
import type { RequestFailure } from "./request-failure.js";
import { failures } from "./request-failure.js";
import type { RequestPlan } from "./request-plan.js";
import { mergePlans, planExtendedRequest } from "./request-plan.js";
import { RequestRewriter } from "./request-rewriter.js";
import { ResponseBuffer } from "./response-buffer.js";
import { WriteAcknowledgement } from "./write-acknowledgement.js";
import type { WriteAcknowledgementListener } from "./write-acknowledgement.js";

type Stage = "idle" | "choosing" | "running" | "acknowledging";

/**
 * Runs the requests of one caller one after the other: selects an endpoint, sends the request, retries it where that is
 * safe, and delays the response to a write until it may be acknowledged.
 */
export class RequestExecutor implements AttemptListener, WriteAcknowledgementListener {
    readonly #context: ExecutionContext;
    readonly #database: DatabaseContext;
    readonly #floorReporter: FloorReporter;
    readonly #registry: PreparedStatementRegistry;
    readonly #response: ResponseBuffer;
    readonly #attempt: Attempt;
    readonly #selection: EndpointSelection;
    readonly #acknowledgement: WriteAcknowledgement;
    #stage: Stage = "idle";
    #current: ActiveRequest | undefined;
    #checkout: ConnectionCheckout | undefined;
    #cancelDeadline: (() => void) | undefined;

    constructor(
        context: ExecutionContext,
        database: DatabaseContext,
        tokens: TokenCodec,
        registry: PreparedStatementRegistry,
    ) {
        this.#context = context;
        this.#database = database;
        this.#floorReporter = new FloorReporter(database.name, context.session, tokens);
        this.#registry = registry;
        this.#response = new ResponseBuffer(context.caller);
        this.#attempt = new Attempt(this.#response, new RequestRewriter(registry, context.statements), this);
        this.#acknowledgement = new WriteAcknowledgement(database, this);
        this.#selection = new EndpointSelection(database, context.session, {
            chosen: (checkout, requiredPosition) => {
                this.#send(checkout, requiredPosition);
            },
            refused: failure => {
                this.#fail(failure);
            },
        });
    }

    get active(): boolean {
        return this.#stage !== "idle";
    }

    start(
        request: Request,
        plan: RequestPlan,
        requestClass: RequestClass,
        reserved: ConnectionCheckout | undefined,
    ): void {
        const { clock, schedule } = this.#database.environment;
        const now = clock();
        const current = new ActiveRequest(request, plan, requestClass, reserved !== undefined);
        const expired = now >= current.deadlineAt;
        this.#current = current;
        this.#checkout = undefined;
        this.#stage = "choosing";
        this.#response.begin();
        this.#cancelDeadline = schedule(Math.max(0, current.deadlineAt - now), () => {
            this.#expire();
        });
        this.#database.retries.attempted(now);
        if (reserved !== undefined) {
            this.#startOnReserved(current, reserved, expired);
        }
        else if (expired) {
            this.#expire();
        }
        else {
            this.#selection.start(request, plan, requestClass, current.deadlineAt);
        }
    }

    /** Runs the request on the caller's reserved connection, unless the deadline passed or the term changed. */
    #startOnReserved(current: ActiveRequest, reserved: ConnectionCheckout, expired: boolean): void {
        const term = this.#database.term();
        const refusal = refusalForReserved(reserved, term, expired, current.plan);
        if (refusal === undefined) {
            this.#send(reserved, undefined);
            return;
        }
        if (reserved.term === term && !hasOpenTransaction(reserved)) {
            this.#checkout = reserved;
        }
        else {
            reserved.pool.discard(reserved.connection, true);
        }
        this.#fail(refusal);
    }

    /** Sends the messages that were appended to a request after it had started. */
    requestExtended(): void {
        const current = this.#current;
        if (this.#stage !== "running" || current?.request.isStarted !== true || current.request.frames.length === 0) {
            return;
        }
        const more = planExtendedRequest(current.request, this.#registry, this.#context.statements);
        if (more.refusal !== undefined) {
            const status = this.#attempt.inTransaction ? TransactionStatus.Failed : TransactionStatus.Idle;
            this.#cancelAndFail({ ...failures.cannotBePooled(more.refusal), status });
            return;
        }
        current.plan = mergePlans(current.plan, more);
        this.#context.setEndpointBufferFull(!this.#attempt.extend(current.request, current.plan));
    }

    /** The endpoint expects COPY data from the caller. */
    get isCopying(): boolean {
        return this.#stage === "running" && this.#attempt.isCopying;
    }

    copy(frame: Frame): void {
        this.#context.setEndpointBufferFull(!this.#attempt.copy(frame));
    }

    /** Sends a cancel request for the caller's statement. Returns false when none is running. */
    cancel(): boolean {
        const checkout = this.#checkout;
        if (this.#stage !== "running" || checkout === undefined || !this.#attempt.running) {
            return false;
        }
        cancelStatement(checkout, this.#database.environment.connector);
        return true;
    }

    /** Resumes reading from the endpoint after the caller's socket buffer drained. */
    callerDrained(): void {
        this.#checkout?.connection.wire.resume();
    }

    /** Ends the running request after the caller disconnected. */
    abort(): void {
        const checkout = this.#checkout;
        const current = this.#current;
        if (this.#stage === "idle") {
            return;
        }
        const mayFinish = this.#stage === "acknowledging"
            || (current?.repeatable === false && current.request.complete);
        this.#reset();
        if (checkout !== undefined) {
            returnAfterDisconnect(checkout, mayFinish && !this.#attempt.inTransaction && !hasOpenTransaction(checkout));
        }
    }

    freshnessCheckFailed(position: Position | undefined): void {
        const checkout = this.#checkout;
        const current = this.#current;
        if (checkout === undefined || current === undefined) {
            return;
        }
        this.#checkout = undefined;
        current.fresh = false;
        this.#response.discard();
        if (position !== undefined) {
            this.#database.observe(checkout.pool.endpoint.id, position, current.sentAt, checkout.term);
        }
        checkout.pool.discard(checkout.connection, false);
        this.#chooseAgain(checkout.pool.endpoint.id, 0);
    }

    answered(position: Position | undefined): void {
        const checkout = this.#checkout;
        const current = this.#current;
        if (checkout === undefined || current === undefined) {
            return;
        }
        checkout.pool.answered(this.#database.environment.clock() - current.sentAt);
        this.#selection.finished(true);
        if (position !== undefined) {
            this.#database.observe(checkout.pool.endpoint.id, position, current.sentAt, checkout.term);
        }
        this.#stage = "acknowledging";
        if (!this.#attempt.ended) {
            this.#completeRead(current, position);
        }
        else if (position !== undefined) {
            this.#returnConnectionEarly(checkout, current.plan);
            this.#acknowledgement.awaitAcknowledgement(checkout.term, position);
        }
        else if (this.#attempt.status === TransactionStatus.Idle) {
            this.#fail(failures.unknown("the position of the write could not be read"));
        }
        else {
            this.#acknowledgement.queryPositionAndAwait(checkout.term);
        }
    }

    /**
     * With the position known, other callers can use the connection while this response waits for a replica or a lease.
     */
    #returnConnectionEarly(checkout: ConnectionCheckout, plan: RequestPlan): void {
        if (!plan.pins && !this.#context.pinned && plan.resets === "none" && checkout.connection.isReusable) {
            this.#checkout = undefined;
            checkout.pool.release(checkout.connection);
        }
    }

    lost(reason: string): void {
        const checkout = this.#checkout;
        this.#checkout = undefined;
        if (this.#stage === "acknowledging") {
            // The write is complete; only a transaction that began after it was lost with the connection.
            if (this.#attempt.status !== TransactionStatus.Idle) {
                this.#fail({ ...failures.unknown(`connection lost: ${reason}`), status: TransactionStatus.Failed });
            }
            return;
        }
        if (!this.#retry(checkout?.pool.endpoint.id)) {
            this.#fail(this.#interruptedFailure(`connection to the endpoint was lost: ${reason}`));
        }
    }

    heldResponseTooLarge(): void {
        const reason = "the answer behind COMMIT is too large to be held";
        this.#cancelAndFail(this.#interruptedFailure(reason));
    }

    callerBufferFull(): void {
        this.#checkout?.connection.wire.pause();
        this.#context.callerBufferFull();
    }

    drained(): void {
        this.#context.setEndpointBufferFull(false);
    }

    released(position: Position): void {
        this.#context.session.raise({ term: this.#acknowledgement.term, position });
        this.#succeed();
    }

    termEnded(): void {
        this.#fail(failures.unknown("the primary changed before the write was acknowledged"));
    }

    #send(checkout: ConnectionCheckout, requiredPosition: Position | undefined): void {
        const current = this.#current;
        if (current === undefined) {
            return;
        }
        this.#stage = "running";
        this.#checkout = checkout;
        current.sentAt = this.#database.environment.clock();
        current.replica = checkout.pool.endpoint.id !== this.#database.primary();
        const isBufferFree = this.#attempt.begin({
            connection: checkout.connection,
            request: current.request,
            plan: current.plan,
            positionQuery: current.replica ? replicaPosition : primaryPosition,
            requiredPosition,
        });
        if (!isBufferFree) {
            this.#context.setEndpointBufferFull(true);
        }
    }

    #completeRead(current: ActiveRequest, position: Position | undefined): void {
        if (!current.raisesReadFloor || this.#attempt.inTransaction || this.#attempt.failed) {
            this.#succeed();
        }
        else if (position !== undefined) {
            this.#context.session.raise({ term: this.#checkout?.term ?? 0, position });
            this.#succeed();
        }
        else if (!this.#retry(this.#checkout?.pool.endpoint.id)) {
            this.#fail(failures.unknown("the position behind the read could not be read"));
        }
    }

    #expire(): void {
        this.#cancelDeadline = undefined;
        if (this.#stage === "choosing") {
            this.#fail(failures.notRun("the deadline passed before the request could be sent", this.#current?.plan));
        }
        else if (this.#stage === "running") {
            this.#cancelAndFail(this.#interruptedFailure("the deadline passed"));
        }
        else if (this.#stage === "acknowledging") {
            this.#fail(failures.unknown("the deadline passed before the write could be acknowledged"));
        }
    }

    /** Fails a running request, cancels its statement and closes its connection. */
    #cancelAndFail(failure: RequestFailure): void {
        const checkout = this.#checkout;
        this.#checkout = undefined;
        checkout?.pool.cancelAndClose(checkout.connection);
        this.#fail(failure);
    }

    /** The failure of a request that was sent but whose response will not arrive. */
    #interruptedFailure(reason: string): RequestFailure {
        const plan = this.#current?.plan;
        return plan === undefined
            ? failures.unknown(reason)
            : failures.interrupted(reason, plan, this.#attempt.inTransaction, this.#attempt.hasCommitted);
    }

    /**
     * Retries the request on a newly selected endpoint. Returns false when it is not repeatable or the budget is spent.
     */
    #retry(endpoint: string | undefined): boolean {
        const current = this.#current;
        if (current?.repeatable !== true || this.#response.hasSentBytes) {
            return false;
        }
        const now = this.#database.environment.clock();
        const delay = this.#database.retries.retry(endpoint ?? "", current.retries + 1, now);
        if (delay === undefined) {
            return false;
        }
        const checkout = this.#checkout;
        this.#checkout = undefined;
        checkout?.pool.release(checkout.connection);
        current.retries += 1;
        this.#response.discard();
        this.#chooseAgain(endpoint, delay);
        return true;
    }

    #chooseAgain(endpoint: string | undefined, delayMs: number): void {
        this.#attempt.detach();
        this.#selection.finished(false);
        this.#stage = "choosing";
        this.#selection.chooseAgain(endpoint, delayMs);
    }

    #succeed(): void {
        this.#response.releaseHeld();
        this.#floorReporter.push(this.#response);
        this.#response.push(this.#attempt.ready ?? readyForQuery(TransactionStatus.Idle));
        this.#complete(Outcome.Done, undefined);
    }

    #fail(failure: RequestFailure): void {
        const checkout = this.#checkout;
        const hasTransaction = checkout !== undefined && hasOpenTransaction(checkout);
        const status = hasTransaction ? TransactionStatus.Failed : failure.status;
        if (hasTransaction) {
            // The failure hides from the caller that a transaction began in the request, so it is rolled back.
            this.#checkout = undefined;
            checkout.pool.discard(checkout.connection, true);
        }
        this.#response.discard();
        this.#floorReporter.push(this.#response);
        this.#response.push(errorResponse(failure.code, failure.text));
        if (this.#current?.request.complete === true) {
            this.#response.push(readyForQuery(status));
        }
        this.#complete(failure.outcome, { ...failure, status });
    }

    #complete(outcome: Outcome, failure: RequestFailure | undefined): void {
        const isBufferFull = !this.#response.flush();
        const checkout = this.#checkout;
        this.#current?.record(this.#database, outcome, failure);
        this.#reset();
        if (isBufferFull) {
            this.#context.callerBufferFull();
        }
        this.#context.requestCompleted(checkout, failure);
    }

    #reset(): void {
        this.#stage = "idle";
        this.#checkout = undefined;
        this.#cancelDeadline?.();
        this.#cancelDeadline = undefined;
        this.#acknowledgement.stop();
        this.#selection.stop();
        this.#selection.finished(false);
        this.#attempt.detach();
        this.#response.discard();
    }
}
