import type { Position } from "@medlarledge/protocol";
import type { AttemptListener, AttemptStart } from "./attempt-start.js";
import { FromCaller, FromEndpoint, TransactionStatus } from "./message-type.js";
import { errorCode, positionOf, primaryPosition } from "./messages.js";
import type { ConnectionOwner, PoolConnection } from "./pool-connection.js";
import type { Frame } from "./ports.js";
import type { Request } from "./request-assembler.js";
import type { RequestPlan } from "./request-plan.js";
import type { RequestRewriter } from "./request-rewriter.js";
import type { ResponseBuffer } from "./response-buffer.js";
import { acknowledgesWrite, isCommitTag, needsTrailingQuery } from "./write-detection.js";

/** Bytes of a response that may be held until its position is known and the lease allows the acknowledgement. */
const MAX_HELD_RESPONSE_BYTES = 1 << 20;
const QUERY_CANCELED = "57014";

type Phase = "none" | "leadingQuery" | "request" | "trailingQuery";

/** One request on one connection: sends it with its position queries and reads the responses in order. */
export class Attempt implements ConnectionOwner {
    readonly #response: ResponseBuffer;
    readonly #rewriter: RequestRewriter;
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

    constructor(response: ResponseBuffer, rewriter: RequestRewriter, listener: AttemptListener) {
        this.#response = response;
        this.#rewriter = rewriter;
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

    /** The endpoint expects COPY data from the caller. */
    get isCopying(): boolean {
        return this.#isCopying;
    }

    /** The caller's own statement may be running. */
    get running(): boolean {
        return this.#phase === "leadingQuery" || this.#phase === "request";
    }

    /** The endpoint's ReadyForQuery for the request itself, not for a position query. */
    get ready(): Uint8Array | undefined {
        return this.#readyForQuery;
    }

    /** Transaction status after the request. */
    get status(): number {
        return this.#readyForQuery?.[5] ?? TransactionStatus.Idle;
    }

    /** The response acknowledges a write. */
    get ended(): boolean {
        const idle = this.status === TransactionStatus.Idle;
        return this.#hasCommitted || (idle && this.#start !== undefined && acknowledgesWrite(this.#start.plan));
    }

    /** Sends the request. Returns false when the connection's socket buffer is full. */
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
        this.#rewriter.begin(connection);
        connection.own(this);
        connection.hasSessionState ||= plan.touchesSession;
        return this.#send(start, request);
    }

    #send(start: AttemptStart, request: Request): boolean {
        const { connection } = start;
        const out: Uint8Array[] = [];
        let answers = 0;
        this.#phase = start.requiredPosition === undefined ? "request" : "leadingQuery";
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
        const isBufferFree = connection.send(
            out.length === 1 && first !== undefined ? first : Buffer.concat(out),
            answers,
        );
        if (this.#phase === "request" && !request.simple) {
            this.#sendSynthesized(connection);
        }
        return isBufferFree;
    }

    /** Sends messages that were appended to a started request. Returns false when the socket buffer is full. */
    extend(request: Request, plan: RequestPlan): boolean {
        const connection = this.#start?.connection;
        if (this.#start === undefined || connection === undefined || this.#phase === "none") {
            return true;
        }
        this.#start = { ...this.#start, plan };
        connection.hasSessionState ||= plan.touchesSession;
        const out: Uint8Array[] = [];
        const answers = this.#appendFrames(request, connection, out);
        const isBufferFree = out.length === 0 || connection.send(Buffer.concat(out), answers);
        this.#sendSynthesized(connection);
        this.chunkEnd();
        return isBufferFree;
    }

    /** Forwards COPY data. Returns false when the connection's socket buffer is full. */
    copy(frame: Frame): boolean {
        const simple = this.#start?.request.simple === true;
        this.#isCopying &&= simple
            ? frame.type !== FromCaller.CopyDone && frame.type !== FromCaller.CopyFail
            : frame.type !== FromCaller.Sync;
        // A Sync within COPY replaces the one that PostgreSQL ignored when the COPY began, so no response is added.
        return this.#start?.connection.send(frame.bytes, 0) ?? true;
    }

    /** Detaches from the connection, so that none of its later messages reach the caller. */
    detach(): void {
        this.#phase = "none";
        this.#start = undefined;
    }

    frame(frame: Frame): void {
        switch (this.#phase) {
            case "leadingQuery":
                this.#leadingQueryFrame(frame);
                break;
            case "request":
                this.#requestFrame(frame);
                break;
            case "trailingQuery":
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
        // A complete request keeps its frames, so that it can be retried.
        request.isStarted ||= !request.complete;
        const frames = request.isStarted ? request.frames.splice(0) : request.frames;
        if (request.simple) {
            for (const frame of frames) {
                out.push(frame.bytes);
            }
            return 1;
        }
        return this.#rewriter.write(frames, connection, out);
    }

    #sendSynthesized(connection: PoolConnection): void {
        this.#rewriter.sendSynthesized(connection, bytes => {
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
            this.#phase = "request";
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
        if (simple || this.#rewriter.handleResponse(frame, start.connection)) {
            this.#emit(frame.bytes);
        }
        if (!simple) {
            this.#sendSynthesized(start.connection);
        }
    }

    /**
     * Whether the next CommandComplete acknowledges a write. A request that started before its Sync has committed
     * nothing yet, and its caller may wait for this message, so it is not held.
     */
    #acknowledges(start: AttemptStart): boolean {
        return !this.#inTransaction && !start.request.isStarted && acknowledgesWrite(start.plan);
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
        // Without COMMIT nothing is committed before the end of the request, so these messages acknowledge nothing.
        this.#response.releaseHeld();
    }

    #requestReady(frame: Frame, start: AttemptStart): void {
        this.#readyForQuery = frame.bytes;
        this.#isCopying = false;
        if (this.#hasTrailingQuery) {
            this.#phase = "trailingQuery";
        }
        else if (this.ended && this.status === TransactionStatus.Idle) {
            this.#phase = "trailingQuery";
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
        // A cancel request that arrived after the statement ended stopped the position query instead: send it again.
        if (start !== undefined && this.#trailingQueryError === QUERY_CANCELED && !this.#isTrailingQueryRepeated) {
            this.#isTrailingQueryRepeated = true;
            start.connection.send(start.positionQuery, 1);
            return;
        }
        this.#phase = "none";
        this.#listener.answered(this.#position);
    }
}
