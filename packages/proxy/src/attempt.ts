import type { Position } from "@medlarledge/protocol";
import type { AttemptListener, AttemptStart } from "./attempt-start.js";
import { FromCaller, FromEndpoint, TransactionStatus } from "./message-type.js";
import { errorCode, positionOf, primaryPosition } from "./messages.js";
import type { ConnectionOwner, PoolConnection } from "./pool-connection.js";
import type { Frame } from "./ports.js";
import type { Request } from "./request-assembly.js";
import type { RequestPlan } from "./request-plan.js";
import type { RequestWriter } from "./request-writer.js";
import type { ResponseBuffer } from "./response-buffer.js";
import { acknowledgesWrite, isCommitTag, needsTrailingQuery } from "./write-detection.js";

/** Bytes of an answer that may wait for a position or a lease. */
const MAX_HELD_RESPONSE_BYTES = 1 << 20;
const QUERY_CANCELED = "57014";

type Phase = "none" | "front" | "main" | "tail";

/** One request on one connection: sends it with its position queries and reads the answers in order. */
export class Attempt implements ConnectionOwner {
    readonly #response: ResponseBuffer;
    readonly #writer: RequestWriter;
    readonly #listener: AttemptListener;
    #start: AttemptStart | undefined;
    #phase: Phase = "none";
    #position: Position | undefined;
    #hasTrailingQuery = false;
    #trailingQueryError = "";
    #isTrailingQueryRepeated = false;
    #isHolding = false;
    #hasFailed = false;
    #hasCommitted = false;
    #inTransaction = false;
    #isCopying = false;
    #readyForQuery: Uint8Array | undefined;

    constructor(response: ResponseBuffer, writer: RequestWriter, listener: AttemptListener) {
        this.#response = response;
        this.#writer = writer;
        this.#listener = listener;
    }

    /** The request started within a transaction. */
    get inTransaction(): boolean {
        return this.#inTransaction;
    }

    get hasCommitted(): boolean {
        return this.#hasCommitted;
    }

    get failed(): boolean {
        return this.#hasFailed;
    }

    /** The endpoint takes COPY data from the caller. */
    get isCopying(): boolean {
        return this.#isCopying;
    }

    /** The caller's own statement may be running. */
    get running(): boolean {
        return this.#phase === "front" || this.#phase === "main";
    }

    /** The endpoint's ReadyForQuery of the request itself. */
    get ready(): Uint8Array | undefined {
        return this.#readyForQuery;
    }

    /** Transaction status after the request. */
    get status(): number {
        return this.#readyForQuery?.[5] ?? TransactionStatus.Idle;
    }

    /** The answer acknowledges a write. */
    get ended(): boolean {
        const idle = this.status === TransactionStatus.Idle;
        return this.#hasCommitted || (idle && this.#start !== undefined && acknowledgesWrite(this.#start.plan));
    }

    /** Sends the request. Returns false when the connection's socket is full. */
    begin(start: AttemptStart): boolean {
        const { connection, request, plan } = start;
        this.#start = start;
        this.#inTransaction = connection.status !== TransactionStatus.Idle;
        this.#position = undefined;
        this.#hasTrailingQuery = needsTrailingQuery(plan, this.#inTransaction);
        this.#trailingQueryError = "";
        this.#isTrailingQueryRepeated = false;
        this.#isHolding = false;
        this.#hasFailed = false;
        this.#hasCommitted = false;
        this.#isCopying = false;
        this.#readyForQuery = undefined;
        this.#response.begin();
        this.#writer.begin(connection);
        connection.own(this);
        connection.dirty ||= plan.touchesSession;
        return this.#send(start, request);
    }

    #send(start: AttemptStart, request: Request): boolean {
        const { connection } = start;
        const out: Uint8Array[] = [];
        let answers = 0;
        this.#phase = start.requiredPosition === undefined ? "main" : "front";
        if (start.requiredPosition !== undefined) {
            out.push(start.positionQuery);
            answers += 1;
        }
        answers += this.#appendFrames(request, connection, out);
        if (this.#hasTrailingQuery) {
            out.push(start.positionQuery);
            answers += 1;
        }
        const [first] = out;
        const accepted = connection.send(out.length === 1 && first !== undefined ? first : Buffer.concat(out), answers);
        if (this.#phase === "main" && !request.simple) {
            this.#sendSynthesized(connection);
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
        this.#sendSynthesized(connection);
        this.chunkEnd();
        return accepted;
    }

    /** Passes COPY data on. Returns false when the connection's socket is full. */
    copy(frame: Frame): boolean {
        const simple = this.#start?.request.simple === true;
        this.#isCopying &&= simple
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
                this.#leadingQueryFrame(frame);
                break;
            case "main":
                this.#requestFrame(frame);
                break;
            case "tail":
                this.#trailingQueryFrame(frame);
                break;
            case "none":
                break;
        }
    }

    chunkEnd(): void {
        if (this.#phase !== "none" && !this.#response.flush()) {
            this.#listener.callerBufferFull();
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

    #sendSynthesized(connection: PoolConnection): void {
        this.#writer.synthesized(connection, bytes => {
            this.#emit(bytes);
        });
    }

    #leadingQueryFrame(frame: Frame): void {
        if (frame.type === FromEndpoint.DataRow) {
            this.#position = positionOf(frame.bytes);
        }
        else if (frame.type === FromEndpoint.ReadyForQuery) {
            const start = this.#start;
            const position = this.#position;
            this.#position = undefined;
            if (start?.requiredPosition === undefined || position === undefined || position < start.requiredPosition) {
                this.detach();
                this.#listener.freshnessCheckFailed(position);
                return;
            }
            this.#phase = "main";
            if (!start.request.simple) {
                this.#sendSynthesized(start.connection);
            }
        }
    }

    #requestFrame(frame: Frame): void {
        const start = this.#start;
        if (start === undefined) {
            return;
        }
        switch (frame.type) {
            case FromEndpoint.ReadyForQuery:
                this.#requestReady(frame, start);
                return;
            case FromEndpoint.ErrorResponse:
                this.#hasFailed = true;
                break;
            case FromEndpoint.CopyInResponse:
                this.#isCopying = true;
                break;
            case FromEndpoint.CommandComplete:
                this.#hasCommitted ||= isCommitTag(frame.bytes);
                this.#isHolding ||= this.#hasTrailingQuery || this.#hasCommitted || this.#acknowledges(start);
                break;
            default:
                break;
        }
        const simple = start.request.simple;
        if (simple || this.#writer.accept(frame, start.connection)) {
            this.#emit(frame.bytes);
        }
        if (!simple) {
            this.#sendSynthesized(start.connection);
        }
    }

    /** Before its Sync a request that already runs has committed nothing, and its caller may wait for this message. */
    #acknowledges(start: AttemptStart): boolean {
        return !this.#inTransaction && !start.request.started && acknowledgesWrite(start.plan);
    }

    #emit(bytes: Uint8Array): void {
        if (!this.#isHolding) {
            this.#response.push(bytes);
            return;
        }
        this.#response.hold(bytes);
        if (this.#response.heldBytes <= MAX_HELD_RESPONSE_BYTES) {
            return;
        }
        if (this.#hasCommitted) {
            this.#listener.heldResponseTooLarge();
            return;
        }
        // Without COMMIT nothing is committed before the end of the request: these are no acknowledgements yet.
        this.#response.releaseHeld();
    }

    #requestReady(frame: Frame, start: AttemptStart): void {
        this.#readyForQuery = frame.bytes;
        this.#isCopying = false;
        if (this.#hasTrailingQuery) {
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

    #trailingQueryFrame(frame: Frame): void {
        if (frame.type === FromEndpoint.DataRow) {
            this.#position = positionOf(frame.bytes);
        }
        else if (frame.type === FromEndpoint.ErrorResponse) {
            this.#trailingQueryError = errorCode(frame.bytes);
        }
        else if (frame.type === FromEndpoint.ReadyForQuery) {
            this.#trailingQueryReady();
        }
    }

    #trailingQueryReady(): void {
        const start = this.#start;
        // A cancel request that came too late for the statement stopped the position query instead: ask again.
        if (start !== undefined && this.#trailingQueryError === QUERY_CANCELED && !this.#isTrailingQueryRepeated) {
            this.#isTrailingQueryRepeated = true;
            start.connection.send(start.positionQuery, 1);
            return;
        }
        this.#phase = "none";
        this.#listener.answered(this.#position);
    }
}
