import type { Position } from "@medlarledge/protocol";
import { Answer } from "./answer.js";
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
import { EndpointChoice } from "./endpoint-choice.js";
import type { ExecutionHost } from "./execution-host.js";
import type { Failure } from "./failure.js";
import { failures } from "./failure.js";
import { FloorReport } from "./floor-report.js";
import { TransactionStatus } from "./message-type.js";
import { errorResponse, primaryPosition, readyForQuery, replicaPosition } from "./messages.js";
import type { Frame, RequestClass, TokenCodec } from "./ports.js";
import { Outcome } from "./ports.js";
import type { StatementNames } from "./prepared-statements.js";
import type { Request } from "./request-assembly.js";
import type { RequestPlan } from "./request-plan.js";
import { joinPlans, planRequest } from "./request-plan.js";
import { RequestWriter } from "./request-writer.js";
import { Run } from "./run.js";
import { WriteRelease } from "./write-release.js";
import type { WriteReleaseListener } from "./write-release.js";

type Stage = "idle" | "choosing" | "running" | "releasing";

/** Runs the requests of one caller, one after the other: chooses, sends, retries, holds and answers. */
export class Execution implements AttemptListener, WriteReleaseListener {
    readonly #host: ExecutionHost;
    readonly #database: DatabaseContext;
    readonly #floorReport: FloorReport;
    readonly #names: StatementNames;
    readonly #answer: Answer;
    readonly #attempt: Attempt;
    readonly #choice: EndpointChoice;
    readonly #release: WriteRelease;
    #stage: Stage = "idle";
    #run: Run | undefined;
    #checkout: ConnectionCheckout | undefined;
    #cancelDeadline: (() => void) | undefined;

    constructor(host: ExecutionHost, database: DatabaseContext, tokens: TokenCodec, names: StatementNames) {
        this.#host = host;
        this.#database = database;
        this.#floorReport = new FloorReport(database.name, host.session, tokens);
        this.#names = names;
        this.#answer = new Answer(host.caller);
        this.#attempt = new Attempt(this.#answer, new RequestWriter(names, host.statements), this);
        this.#release = new WriteRelease(database, this);
        this.#choice = new EndpointChoice(database, host.session, {
            chosen: (checkout, proof) => {
                this.#send(checkout, proof);
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
        const run = new Run(request, plan, requestClass, reserved !== undefined);
        const expired = now >= run.deadlineAt;
        this.#run = run;
        this.#checkout = undefined;
        this.#stage = "choosing";
        this.#answer.begin();
        this.#cancelDeadline = schedule(Math.max(0, run.deadlineAt - now), () => {
            this.#expire();
        });
        this.#database.retries.attempted(now);
        if (reserved !== undefined) {
            this.#startOnReserved(run, reserved, expired);
        }
        else if (expired) {
            this.#expire();
        }
        else {
            this.#choice.start(request, plan, requestClass, run.deadlineAt);
        }
    }

    /** Runs the request on the connection that the caller kept, unless that is too late. */
    #startOnReserved(run: Run, reserved: ConnectionCheckout, expired: boolean): void {
        const term = this.#database.term();
        const refusal = refusalForReserved(reserved, term, expired, run.plan);
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

    /** More of a request that has already started arrived. */
    extended(): void {
        const run = this.#run;
        if (this.#stage !== "running" || run?.request.started !== true || run.request.frames.length === 0) {
            return;
        }
        const more = planRequest(run.request, this.#names, this.#host.statements);
        if (more.refusal !== undefined) {
            const status = this.#attempt.inTransaction ? TransactionStatus.Failed : TransactionStatus.Idle;
            this.#stop({ ...failures.cannotBePooled(more.refusal), status });
            return;
        }
        run.plan = joinPlans(run.plan, more);
        this.#host.endpointFull(!this.#attempt.extend(run.request, run.plan));
    }

    /** The endpoint takes COPY data from the caller. */
    get copying(): boolean {
        return this.#stage === "running" && this.#attempt.copying;
    }

    copy(frame: Frame): void {
        this.#host.endpointFull(!this.#attempt.copy(frame));
    }

    /** Asks the endpoint to stop the caller's statement. Returns false when none is running. */
    cancel(): boolean {
        const checkout = this.#checkout;
        if (this.#stage !== "running" || checkout === undefined || !this.#attempt.running) {
            return false;
        }
        cancelStatement(checkout, this.#database.environment.connector);
        return true;
    }

    /** The caller's socket takes bytes again. */
    callerDrained(): void {
        this.#checkout?.connection.wire.resume();
    }

    /** The caller closed. */
    abort(): void {
        const checkout = this.#checkout;
        const run = this.#run;
        if (this.#stage === "idle") {
            return;
        }
        const mayEnd = this.#stage === "releasing" || (run?.repeatable === false && run.request.complete);
        this.#finishStage();
        if (checkout !== undefined) {
            returnAfterDisconnect(checkout, mayEnd && !this.#attempt.inTransaction && !hasOpenTransaction(checkout));
        }
    }

    proofFailed(position: Position | undefined): void {
        const checkout = this.#checkout;
        const run = this.#run;
        if (checkout === undefined || run === undefined) {
            return;
        }
        this.#checkout = undefined;
        run.fresh = false;
        this.#answer.drop();
        if (position !== undefined) {
            this.#database.observe(checkout.pool.endpoint.id, position, run.sentAt, checkout.term);
        }
        checkout.pool.discard(checkout.connection, false);
        this.#chooseAgain(checkout.pool.endpoint.id, 0);
    }

    answered(position: Position | undefined): void {
        const checkout = this.#checkout;
        const run = this.#run;
        if (checkout === undefined || run === undefined) {
            return;
        }
        checkout.pool.answered(this.#database.environment.clock() - run.sentAt);
        this.#choice.finished(true);
        if (position !== undefined) {
            this.#database.observe(checkout.pool.endpoint.id, position, run.sentAt, checkout.term);
        }
        this.#stage = "releasing";
        if (!this.#attempt.ended) {
            this.#readAnswered(run, position);
        }
        else if (position !== undefined) {
            this.#giveBackEarly(checkout, run.plan);
            this.#release.written(checkout.term, position);
        }
        else if (this.#attempt.status === TransactionStatus.Idle) {
            this.#fail(failures.unknown("the position of the write could not be read"));
        }
        else {
            this.#release.writtenBefore(checkout.term);
        }
    }

    /** The position is known: others can use the connection while this answer waits for a replica or the lease. */
    #giveBackEarly(checkout: ConnectionCheckout, plan: RequestPlan): void {
        if (!plan.pins && !this.#host.pinned && plan.resets === "none" && checkout.connection.clean) {
            this.#checkout = undefined;
            checkout.pool.release(checkout.connection);
        }
    }

    lost(reason: string): void {
        const checkout = this.#checkout;
        this.#checkout = undefined;
        if (this.#stage === "releasing") {
            // The write has ended. Only a transaction that began behind it is gone with the connection.
            if (this.#attempt.status !== TransactionStatus.Idle) {
                this.#fail({ ...failures.unknown(`connection lost: ${reason}`), status: TransactionStatus.Failed });
            }
            return;
        }
        if (!this.#retry(checkout?.pool.endpoint.id)) {
            this.#fail(this.#interrupted(`connection to the endpoint was lost: ${reason}`));
        }
    }

    heldTooMuch(): void {
        const reason = "the answer behind COMMIT is too large to be held";
        this.#stop(this.#interrupted(reason));
    }

    callerFull(): void {
        this.#checkout?.connection.wire.pause();
        this.#host.callerFull();
    }

    drained(): void {
        this.#host.endpointFull(false);
    }

    released(position: Position): void {
        this.#host.session.raise({ term: this.#release.term, position });
        this.#finish();
    }

    termEnded(): void {
        this.#fail(failures.unknown("the primary changed before the write was acknowledged"));
    }

    #send(checkout: ConnectionCheckout, proof: Position | undefined): void {
        const run = this.#run;
        if (run === undefined) {
            return;
        }
        this.#stage = "running";
        this.#checkout = checkout;
        run.sentAt = this.#database.environment.clock();
        run.replica = checkout.pool.endpoint.id !== this.#database.primary();
        const accepted = this.#attempt.begin({
            connection: checkout.connection,
            request: run.request,
            plan: run.plan,
            positionQuery: run.replica ? replicaPosition : primaryPosition,
            proof,
        });
        if (!accepted) {
            this.#host.endpointFull(true);
        }
    }

    #readAnswered(run: Run, position: Position | undefined): void {
        if (!run.raisesFloor || this.#attempt.inTransaction || this.#attempt.failed) {
            this.#finish();
        }
        else if (position !== undefined) {
            this.#host.session.raise({ term: this.#checkout?.term ?? 0, position });
            this.#finish();
        }
        else if (!this.#retry(this.#checkout?.pool.endpoint.id)) {
            this.#fail(failures.unknown("the position behind the read could not be read"));
        }
    }

    #expire(): void {
        this.#cancelDeadline = undefined;
        if (this.#stage === "choosing") {
            this.#fail(failures.notRun("the deadline passed before the request could be sent", this.#run?.plan));
        }
        else if (this.#stage === "running") {
            this.#stop(this.#interrupted("the deadline passed"));
        }
        else if (this.#stage === "releasing") {
            this.#fail(failures.unknown("the deadline passed before the write could be acknowledged"));
        }
    }

    /** Ends a running request whose connection cannot be used any more. */
    #stop(failure: Failure): void {
        const checkout = this.#checkout;
        this.#checkout = undefined;
        checkout?.pool.cancelAndClose(checkout.connection);
        this.#fail(failure);
    }

    /** What a caller is told when a request was sent and its answer will not come. */
    #interrupted(reason: string): Failure {
        const plan = this.#run?.plan;
        return plan === undefined
            ? failures.unknown(reason)
            : failures.interrupted(reason, plan, this.#attempt.inTransaction, this.#attempt.sawCommit);
    }

    /** Sends the request again elsewhere when that can do no harm. Returns false when it may not. */
    #retry(endpoint: string | undefined): boolean {
        const run = this.#run;
        if (run?.repeatable !== true || this.#answer.sent) {
            return false;
        }
        const now = this.#database.environment.clock();
        const delay = this.#database.retries.retry(endpoint ?? "", run.retries + 1, now);
        if (delay === undefined) {
            return false;
        }
        const checkout = this.#checkout;
        this.#checkout = undefined;
        checkout?.pool.release(checkout.connection);
        run.retries += 1;
        this.#answer.drop();
        this.#chooseAgain(endpoint, delay);
        return true;
    }

    #chooseAgain(endpoint: string | undefined, delayMs: number): void {
        this.#attempt.detach();
        this.#choice.finished(false);
        this.#stage = "choosing";
        this.#choice.again(endpoint, delayMs);
    }

    #finish(): void {
        this.#answer.unhold();
        this.#floorReport.push(this.#answer);
        this.#answer.push(this.#attempt.ready ?? readyForQuery(TransactionStatus.Idle));
        this.#end(Outcome.Done, undefined);
    }

    #fail(failure: Failure): void {
        const checkout = this.#checkout;
        const open = checkout !== undefined && hasOpenTransaction(checkout);
        const status = open ? TransactionStatus.Failed : failure.status;
        if (open) {
            // The caller cannot know of a transaction that began in the request that failed.
            this.#checkout = undefined;
            checkout.pool.discard(checkout.connection, true);
        }
        this.#answer.drop();
        this.#floorReport.push(this.#answer);
        this.#answer.push(errorResponse(failure.code, failure.text));
        if (this.#run?.request.complete === true) {
            this.#answer.push(readyForQuery(status));
        }
        this.#end(failure.outcome, { ...failure, status });
    }

    #end(outcome: Outcome, failure: Failure | undefined): void {
        const full = !this.#answer.flush();
        const checkout = this.#checkout;
        this.#run?.record(this.#database, outcome, failure);
        this.#finishStage();
        if (full) {
            this.#host.callerFull();
        }
        this.#host.completed(checkout, failure);
    }

    #finishStage(): void {
        this.#stage = "idle";
        this.#checkout = undefined;
        this.#cancelDeadline?.();
        this.#cancelDeadline = undefined;
        this.#release.stop();
        this.#choice.stop();
        this.#choice.finished(false);
        this.#attempt.detach();
        this.#answer.drop();
    }
}
