import type { Position } from "@medlarledge/protocol";
import { acknowledges, isCommit, wantsTail } from "./acknowledging.js";
import type { Answer } from "./answer.js";
import type { AttemptListener, AttemptStart } from "./attempt-start.js";
import { FromCaller, FromEndpoint, TransactionStatus } from "./message-type.js";
import { errorCode, positionOf, primaryPosition } from "./messages.js";
import type { ConnectionOwner, PoolConnection } from "./pool-connection.js";
import type { Frame } from "./ports.js";
import type { Request } from "./request-assembly.js";
import type { RequestPlan } from "./request-plan.js";
import type { RequestWriter } from "./request-writer.js";

/** Bytes of an answer that may wait for a position or a lease. */
const MAX_HELD_BYTES = 1 << 20;
const QUERY_CANCELED = "57014";

type Phase = "none" | "front" | "main" | "tail";

/** One request on one connection: sends it with its position queries and reads the answers in order. */
export class Attempt implements ConnectionOwner {
    readonly #answer: Answer;
    readonly #writer: RequestWriter;
    readonly #listener: AttemptListener;
    #start: AttemptStart | undefined;
    #phase: Phase = "none";
    #position: Position | undefined;
    #tail = false;
    #tailError = "";
    #tailRepeated = false;
    #holding = false;
    #failed = false;
    #sawCommit = false;
    #inTransaction = false;
    #copying = false;
    #ready: Uint8Array | undefined;

    constructor(answer: Answer, writer: RequestWriter, listener: AttemptListener) {
        this.#answer = answer;
        this.#writer = writer;
        this.#listener = listener;
    }

    /** The request started within a transaction. */
    get inTransaction(): boolean {
        return this.#inTransaction;
    }

    get sawCommit(): boolean {
        return this.#sawCommit;
    }

    get failed(): boolean {
        return this.#failed;
    }

    /** The endpoint takes COPY data from the caller. */
    get copying(): boolean {
        return this.#copying;
    }

    /** The caller's own statement may be running. */
    get running(): boolean {
        return this.#phase === "front" || this.#phase === "main";
    }

    /** The endpoint's ReadyForQuery of the request itself. */
    get ready(): Uint8Array | undefined {
        return this.#ready;
    }

    /** Transaction status after the request. */
    get status(): number {
        return this.#ready?.[5] ?? TransactionStatus.Idle;
    }

    /** The answer acknowledges a write. */
    get ended(): boolean {
        const idle = this.status === TransactionStatus.Idle;
        return this.#sawCommit || (idle && this.#start !== undefined && acknowledges(this.#start.plan));
    }

    /** Sends the request. Returns false when the connection's socket is full. */
    begin(start: AttemptStart): boolean {
        const { connection, request, plan } = start;
        this.#start = start;
        this.#inTransaction = connection.status !== TransactionStatus.Idle;
        this.#position = undefined;
        this.#tail = wantsTail(plan, this.#inTransaction);
        this.#tailError = "";
        this.#tailRepeated = false;
        this.#holding = false;
        this.#failed = false;
        this.#sawCommit = false;
        this.#copying = false;
        this.#ready = undefined;
        this.#answer.begin();
        this.#writer.begin(connection);
        connection.own(this);
        connection.dirty ||= plan.touchesSession;
        return this.#send(start, request);
    }

    #send(start: AttemptStart, request: Request): boolean {
        const { connection } = start;
        const out: Uint8Array[] = [];
        let answers = 0;
        this.#phase = start.proof === undefined ? "main" : "front";
        if (start.proof !== undefined) {
            out.push(start.positionQuery);
            answers += 1;
        }
        answers += this.#appendFrames(request, connection, out);
        if (this.#tail) {
            out.push(start.positionQuery);
            answers += 1;
        }
        const [first] = out;
        const accepted = connection.send(out.length === 1 && first !== undefined ? first : Buffer.concat(out), answers);
        if (this.#phase === "main" && !request.simple) {
            this.#synthesize(connection);
        }
        return accepted;
    }

    /** Sends what the caller added to a request that has already started. */
    extend(request: Request, plan: RequestPlan): boolean {
        const connection = this.#start?.connection;
        if (this.#start === undefined || connection === undefined || this.#phase === "none") {
            return true;
        }
        this.#start = { ...this.#start, plan };
        connection.dirty ||= plan.touchesSession;
        const out: Uint8Array[] = [];
        const answers = this.#appendFrames(request, connection, out);
        const accepted = out.length === 0 || connection.send(Buffer.concat(out), answers);
        this.#synthesize(connection);
        this.chunkEnd();
        return accepted;
    }

    /** Passes COPY data on. Returns false when the connection's socket is full. */
    copy(frame: Frame): boolean {
        const simple = this.#start?.request.simple === true;
        this.#copying &&= simple
            ? frame.type !== FromCaller.CopyDone && frame.type !== FromCaller.CopyFail
            : frame.type !== FromCaller.Sync;
        // A Sync within COPY takes the place of the one that PostgreSQL ignored when the COPY began.
        return this.#start?.connection.send(frame.bytes, 0) ?? true;
    }

    /** Forgets the connection, so that nothing of it reaches the caller any more. */
    detach(): void {
        this.#phase = "none";
        this.#start = undefined;
    }

    frame(frame: Frame): void {
        switch (this.#phase) {
            case "front":
                this.#frontFrame(frame);
                break;
            case "main":
                this.#mainFrame(frame);
                break;
            case "tail":
                this.#tailFrame(frame);
                break;
            case "none":
                break;
        }
    }

    chunkEnd(): void {
        if (this.#phase !== "none" && !this.#answer.flush()) {
            this.#listener.callerFull();
        }
    }

    drained(): void {
        this.#listener.drained();
    }

    lost(reason: string): void {
        this.#phase = "none";
        this.#listener.lost(reason);
    }

    #appendFrames(request: Request, connection: PoolConnection, out: Uint8Array[]): number {
        // A complete request keeps its frames, so that it can be sent again when that is allowed.
        request.started ||= !request.complete;
        const frames = request.started ? request.frames.splice(0) : request.frames;
        if (request.simple) {
            for (const frame of frames) {
                out.push(frame.bytes);
            }
            return 1;
        }
        return this.#writer.write(frames, connection, out);
    }

    #synthesize(connection: PoolConnection): void {
        this.#writer.synthesized(connection, bytes => {
            this.#emit(bytes);
        });
    }

    #frontFrame(frame: Frame): void {
        if (frame.type === FromEndpoint.DataRow) {
            this.#position = positionOf(frame.bytes);
        }
        else if (frame.type === FromEndpoint.ReadyForQuery) {
            const start = this.#start;
            const position = this.#position;
            this.#position = undefined;
            if (start?.proof === undefined || position === undefined || position < start.proof) {
                this.detach();
                this.#listener.proofFailed(position);
                return;
            }
            this.#phase = "main";
            if (!start.request.simple) {
                this.#synthesize(start.connection);
            }
        }
    }

    #mainFrame(frame: Frame): void {
        const start = this.#start;
        if (start === undefined) {
            return;
        }
        switch (frame.type) {
            case FromEndpoint.ReadyForQuery:
                this.#mainReady(frame, start);
                return;
            case FromEndpoint.ErrorResponse:
                this.#failed = true;
                break;
            case FromEndpoint.CopyInResponse:
                this.#copying = true;
                break;
            case FromEndpoint.CommandComplete:
                this.#sawCommit ||= isCommit(frame.bytes);
                this.#holding ||= this.#tail || this.#sawCommit || this.#acknowledges(start);
                break;
            default:
                break;
        }
        const simple = start.request.simple;
        if (simple || this.#writer.accept(frame, start.connection)) {
            this.#emit(frame.bytes);
        }
        if (!simple) {
            this.#synthesize(start.connection);
        }
    }

    /** Before its Sync a request that already runs has committed nothing, and its caller may wait for this message. */
    #acknowledges(start: AttemptStart): boolean {
        return !this.#inTransaction && !start.request.started && acknowledges(start.plan);
    }

    #emit(bytes: Uint8Array): void {
        if (!this.#holding) {
            this.#answer.push(bytes);
            return;
        }
        this.#answer.hold(bytes);
        if (this.#answer.heldBytes <= MAX_HELD_BYTES) {
            return;
        }
        if (this.#sawCommit) {
            this.#listener.heldTooMuch();
            return;
        }
        // Without COMMIT nothing is committed before the end of the request: these are no acknowledgements yet.
        this.#answer.unhold();
    }

    #mainReady(frame: Frame, start: AttemptStart): void {
        this.#ready = frame.bytes;
        this.#copying = false;
        if (this.#tail) {
            this.#phase = "tail";
        }
        else if (this.ended && this.status === TransactionStatus.Idle) {
            this.#phase = "tail";
            start.connection.send(primaryPosition, 1);
        }
        else {
            this.#phase = "none";
            this.#listener.answered(undefined);
        }
    }

    #tailFrame(frame: Frame): void {
        if (frame.type === FromEndpoint.DataRow) {
            this.#position = positionOf(frame.bytes);
        }
        else if (frame.type === FromEndpoint.ErrorResponse) {
            this.#tailError = errorCode(frame.bytes);
        }
        else if (frame.type === FromEndpoint.ReadyForQuery) {
            this.#tailReady();
        }
    }

    #tailReady(): void {
        const start = this.#start;
        // A cancel request that came too late for the statement stopped the position query instead: ask again.
        if (start !== undefined && this.#tailError === QUERY_CANCELED && !this.#tailRepeated) {
            this.#tailRepeated = true;
            start.connection.send(start.positionQuery, 1);
            return;
        }
        this.#phase = "none";
        this.#listener.answered(this.#position);
    }
}
