import type { Floor, Position } from "@medlarledge/protocol";
import { Answer } from "./answer.js";
import { Attempt } from "./attempt.js";
import type { AttemptListener } from "./attempt.js";
import type { DatabaseContext } from "./database-context.js";
import { EndpointChoice } from "./endpoint-choice.js";
import type { Failure } from "./failure.js";
import { failures } from "./failure.js";
import type { Lease } from "./lease.js";
import { TransactionStatus } from "./message-type.js";
import { errorResponse, parameterStatus, primaryPosition, readyForQuery, replicaPosition } from "./messages.js";
import type { CallerConnection, Frame, RequestClass, SessionState, TokenCodec } from "./ports.js";
import { Outcome, StatementKind } from "./ports.js";
import type { CallerStatements, StatementNames } from "./prepared-statements.js";
import type { Request } from "./request-assembly.js";
import type { RequestPlan } from "./request-plan.js";
import { joinPlans, planRequest } from "./request-plan.js";
import { RequestWriter } from "./request-writer.js";
import { WriteRelease } from "./write-release.js";
import type { WriteReleaseListener } from "./write-release.js";

/** What an execution needs of its caller. */
export interface ExecutionHost {
    readonly caller: CallerConnection;
    readonly session: SessionState;
    readonly statements: CallerStatements;
    /** Session state of the caller is on its connection. */
    readonly pinned: boolean;
    /** The request has its answer. `lease` is what the caller had or got, when it is still usable. */
    completed(execution: Execution, lease: Lease | undefined, failure: Failure | undefined): void;
    callerFull(): void;
    endpointFull(full: boolean): void;
}

/** Time that a write gets to end after its caller left. */
const ABANDONED_WRITE_MS = 5_000;

type Stage = "idle" | "choosing" | "running" | "releasing";

/** Runs the requests of one caller, one after the other: chooses, sends, retries, holds and answers. */
export class Execution implements AttemptListener, WriteReleaseListener {
    readonly #host: ExecutionHost;
    readonly #database: DatabaseContext;
    readonly #tokens: TokenCodec;
    readonly #names: StatementNames;
    readonly #answer: Answer;
    readonly #attempt: Attempt;
    readonly #choice: EndpointChoice;
    readonly #release: WriteRelease;
    #stage: Stage = "idle";
    #request: Request | undefined;
    #plan: RequestPlan | undefined;
    #class: RequestClass | undefined;
    #lease: Lease | undefined;
    /** The caller kept this connection from earlier requests. */
    #kept = false;
    #cancelDeadline: (() => void) | undefined;
    /** The floor that the caller was last told. */
    #reported: Floor | undefined;
    #sentAt = 0;
    #retries = 0;
    #fresh = true;
    #replica = false;

    constructor(host: ExecutionHost, database: DatabaseContext, tokens: TokenCodec, names: StatementNames) {
        this.#host = host;
        this.#database = database;
        this.#tokens = tokens;
        this.#names = names;
        this.#answer = new Answer(host.caller);
        this.#attempt = new Attempt(this.#answer, new RequestWriter(names, host.statements), this);
        this.#release = new WriteRelease(database, this);
        this.#choice = new EndpointChoice(database, host.session, {
            chosen: (lease, proof) => {
                this.#send(lease, proof);
            },
            refused: failure => {
                this.#fail(failure);
            },
        });
    }

    get active(): boolean {
        return this.#stage !== "idle";
    }

    start(request: Request, plan: RequestPlan, requestClass: RequestClass, kept: Lease | undefined): void {
        const now = this.#database.environment.clock();
        const deadlineAt = request.arrivedAt + requestClass.deadlineMs;
        this.#request = request;
        this.#plan = plan;
        this.#class = requestClass;
        this.#kept = kept !== undefined;
        this.#lease = undefined;
        this.#retries = 0;
        this.#fresh = true;
        this.#replica = false;
        this.#answer.begin();
        this.#cancelDeadline = this.#database.environment.schedule(Math.max(0, deadlineAt - now), () => {
            this.#expire();
        });
        this.#database.retries.attempted(now);
        this.#stage = "choosing";
        if (kept !== undefined) {
            this.#continue(kept, now >= deadlineAt);
        }
        else if (now >= deadlineAt) {
            this.#expire();
        }
        else {
            this.#choice.start(request, plan, requestClass, deadlineAt);
        }
    }

    /** Runs the request on the connection that the caller kept, unless that is too late. */
    #continue(kept: Lease, expired: boolean): void {
        const term = this.#database.term();
        const reason = kept.term === term
            ? (expired ? "the deadline passed" : undefined)
            : "the primary changed";
        if (reason === undefined) {
            this.#send(kept, undefined);
            return;
        }
        const inTransaction = kept.connection.status !== TransactionStatus.Idle;
        if (kept.term === term && !inTransaction) {
            this.#lease = kept;
            this.#fail(failures.notRun(reason, this.#plan));
            return;
        }
        // COMMIT was not sent, so the transaction ends without effect.
        kept.pool.discard(kept.connection, true);
        this.#fail(
            inTransaction
                ? failures.rolledBack(reason, TransactionStatus.Failed)
                : failures.notRun(reason, this.#plan),
        );
    }

    /** More of a request that has already started arrived. */
    extended(): void {
        const request = this.#request;
        if (this.#stage !== "running" || request?.started !== true || request.frames.length === 0) {
            return;
        }
        const more = planRequest(request, this.#names, this.#host.statements);
        if (more.refusal !== undefined) {
            const status = this.#attempt.inTransaction ? TransactionStatus.Failed : TransactionStatus.Idle;
            this.#stop({ ...failures.cannotBePooled(more.refusal), status });
            return;
        }
        this.#plan = this.#plan === undefined ? more : joinPlans(this.#plan, more);
        this.#host.endpointFull(!this.#attempt.extend(request, this.#plan));
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
        const lease = this.#lease;
        if (this.#stage !== "running" || lease === undefined || !this.#attempt.running) {
            return false;
        }
        const { endpoint, processId, secretKey } = lease.connection.wire;
        // The request may arrive late: nobody else may use the connection after it.
        lease.connection.unfit = true;
        this.#database.environment.connector.cancel(endpoint, processId, secretKey).catch(() => undefined);
        return true;
    }

    /** The caller's socket takes bytes again. */
    callerDrained(): void {
        this.#lease?.connection.wire.resume();
    }

    /** The caller closed. A write that was sent runs to its end; everything else is stopped. */
    abort(): void {
        const lease = this.#lease;
        const stage = this.#stage;
        if (stage === "idle") {
            return;
        }
        this.#finishStage();
        if (lease === undefined) {
            return;
        }
        const writes = this.#plan?.kind !== StatementKind.Read && this.#request?.complete === true;
        const open = this.#attempt.inTransaction || lease.connection.status !== TransactionStatus.Idle;
        if (stage === "running" && (!writes || open) && lease.connection.outstanding > 0) {
            lease.pool.cancelAndClose(lease.connection);
        }
        else if (lease.connection.clean) {
            lease.pool.release(lease.connection);
        }
        else {
            lease.pool.discard(lease.connection, true, ABANDONED_WRITE_MS);
        }
    }

    proofFailed(position: Position | undefined): void {
        const lease = this.#lease;
        if (lease === undefined) {
            return;
        }
        this.#lease = undefined;
        this.#fresh = false;
        this.#answer.drop();
        if (position !== undefined) {
            this.#database.observe(lease.pool.endpoint.id, position, this.#sentAt, lease.term);
        }
        lease.pool.discard(lease.connection, false);
        this.#chooseAgain(lease.pool.endpoint.id, 0);
    }

    answered(position: Position | undefined): void {
        const lease = this.#lease;
        const plan = this.#plan;
        if (lease === undefined || plan === undefined) {
            return;
        }
        const environment = this.#database.environment;
        lease.pool.answered(environment.clock() - this.#sentAt);
        this.#choice.finished(true);
        if (position !== undefined) {
            this.#database.observe(lease.pool.endpoint.id, position, this.#sentAt, lease.term);
        }
        this.#stage = "releasing";
        if (!this.#attempt.ended) {
            this.#readAnswered(position);
        }
        else if (position !== undefined) {
            this.#giveBackEarly(lease, plan);
            this.#release.written(lease.term, position);
        }
        else if (this.#attempt.status === TransactionStatus.Idle) {
            this.#fail(failures.unknown("the position of the write could not be read"));
        }
        else {
            this.#release.writtenBefore(lease.term);
        }
    }

    /** The position is known: others can use the connection while this answer waits for a replica or the lease. */
    #giveBackEarly(lease: Lease, plan: RequestPlan): void {
        if (!plan.pins && !this.#host.pinned && plan.resets === "none" && lease.connection.clean) {
            this.#lease = undefined;
            lease.pool.release(lease.connection);
        }
    }

    lost(reason: string): void {
        const lease = this.#lease;
        this.#lease = undefined;
        if (this.#stage === "releasing") {
            // The write has ended. Only a transaction that began behind it is gone with the connection.
            if (this.#attempt.status !== TransactionStatus.Idle) {
                this.#fail({ ...failures.unknown(`connection lost: ${reason}`), status: TransactionStatus.Failed });
            }
            return;
        }
        if (!this.#retry(lease?.pool.endpoint.id)) {
            this.#fail(this.#interrupted(`connection to the endpoint was lost: ${reason}`));
        }
    }

    heldTooMuch(): void {
        const reason = "the answer behind COMMIT is too large to be held";
        this.#stop(this.#interrupted(reason));
    }

    callerFull(): void {
        this.#lease?.connection.wire.pause();
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

    #send(lease: Lease, proof: Position | undefined): void {
        const { request, plan } = { request: this.#request, plan: this.#plan };
        if (request === undefined || plan === undefined) {
            return;
        }
        this.#stage = "running";
        this.#lease = lease;
        this.#sentAt = this.#database.environment.clock();
        this.#replica = lease.pool.endpoint.id !== this.#database.primary();
        const accepted = this.#attempt.begin({
            connection: lease.connection,
            request,
            plan,
            positionQuery: this.#replica && !this.#kept ? replicaPosition : primaryPosition,
            proof,
        });
        if (!accepted) {
            this.#host.endpointFull(true);
        }
    }

    #readAnswered(position: Position | undefined): void {
        const proves = this.#plan?.kind === StatementKind.Read && this.#plan.executes && this.#plan.tail
            && !this.#attempt.inTransaction && !this.#attempt.failed;
        if (!proves) {
            this.#finish();
        }
        else if (position !== undefined) {
            this.#host.session.raise({ term: this.#lease?.term ?? 0, position });
            this.#finish();
        }
        else if (!this.#retry(this.#lease?.pool.endpoint.id)) {
            this.#fail(failures.unknown("the position behind the read could not be read"));
        }
    }

    /** Tells the caller its floor when it changed since it was last told. */
    #reportFloor(): void {
        const floor = this.#host.session.floor();
        if (floor !== undefined && floor !== this.#reported) {
            this.#reported = floor;
            this.#answer.push(parameterStatus("medlarledge.session", this.#tokens.encode(this.#database.name, floor)));
        }
    }

    #expire(): void {
        this.#cancelDeadline = undefined;
        if (this.#stage === "choosing") {
            this.#fail(failures.notRun("the deadline passed before the request could be sent", this.#plan));
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
        const lease = this.#lease;
        this.#lease = undefined;
        lease?.pool.cancelAndClose(lease.connection);
        this.#fail(failure);
    }

    /** What a caller is told when a request was sent and its answer will not come. */
    #interrupted(reason: string): Failure {
        const plan = this.#plan;
        return plan === undefined
            ? failures.unknown(reason)
            : failures.interrupted(reason, plan, this.#attempt.inTransaction, this.#attempt.sawCommit);
    }

    /** Sends the request again elsewhere when that can do no harm. Returns false when it may not. */
    #retry(endpoint: string | undefined): boolean {
        const plan = this.#plan;
        const request = this.#request;
        if (plan === undefined || request === undefined || this.#kept || request.started || this.#answer.sent) {
            return false;
        }
        if (plan.kind !== StatementKind.Read && plan.executes && this.#class?.repeatable !== true) {
            return false;
        }
        const environment = this.#database.environment;
        const delay = this.#database.retries.retry(endpoint ?? "", this.#retries + 1, environment.clock());
        if (delay === undefined) {
            return false;
        }
        const lease = this.#lease;
        this.#lease = undefined;
        lease?.pool.release(lease.connection);
        this.#retries += 1;
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
        this.#reportFloor();
        this.#answer.push(this.#attempt.ready ?? readyForQuery(TransactionStatus.Idle));
        this.#end(Outcome.Done, undefined);
    }

    #fail(failure: Failure): void {
        this.#answer.drop();
        this.#reportFloor();
        this.#answer.push(errorResponse(failure.code, failure.text));
        if (this.#request?.complete === true) {
            this.#answer.push(readyForQuery(failure.status));
        }
        this.#end(failure.outcome, failure);
    }

    #end(outcome: Outcome, failure: Failure | undefined): void {
        const full = !this.#answer.flush();
        const lease = this.#lease;
        this.#record(outcome);
        this.#finishStage();
        if (full) {
            this.#host.callerFull();
        }
        this.#host.completed(this, lease, failure);
    }

    #finishStage(): void {
        this.#stage = "idle";
        this.#lease = undefined;
        this.#cancelDeadline?.();
        this.#cancelDeadline = undefined;
        this.#release.stop();
        this.#choice.stop();
        this.#choice.finished(false);
        this.#attempt.detach();
        this.#answer.drop();
    }

    #record(outcome: Outcome): void {
        const { clock, events } = this.#database.environment;
        const { name = "", worth = 0, deadlineMs = 0 } = this.#class ?? {};
        const latencyMs = clock() - (this.#request?.arrivedAt ?? 0);
        events.served({
            database: this.#database.name,
            className: name,
            worth,
            outcome,
            latencyMs,
            replica: outcome === Outcome.Done && this.#replica,
            deadlineMet: outcome === Outcome.Done && latencyMs <= deadlineMs,
            fresh: this.#fresh,
            retries: this.#retries,
        });
    }
}
