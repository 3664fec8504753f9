import { FromEndpoint, TransactionStatus } from "./message-type.js";
import { errorCode } from "./messages.js";
import type { EndpointConnection, Frame } from "./ports.js";
import { ConnectionStatements } from "./prepared-statements.js";

/** Who currently uses a connection. */
export interface ConnectionOwner {
    frame(frame: Frame): void;
    /** The messages of one chunk have been passed on. */
    chunkEnd(): void;
    drained(): void;
    /** The connection closed; the owner no longer has it. */
    lost(reason: string): void;
}

/** SQLSTATEs after which what the connection has prepared is no longer trusted. */
const STALE_STATEMENT_CODES = new Set(["0A000", "26000", "42P05"]);

/** One connection of a pool. It has at most one owner at a time. */
export class PoolConnection {
    readonly wire: EndpointConnection;
    readonly statements = new ConnectionStatements();
    /** Session state was touched: DISCARD ALL before the next owner. */
    hasSessionState = false;
    /** Must not be used again. */
    mustClose = false;
    readonly #onLost: (connection: PoolConnection, reason: string) => void;
    #owner: ConnectionOwner | undefined;
    #outstandingResponses = 0;
    #status: number = TransactionStatus.Idle;
    #isClosed = false;

    constructor(
        wire: EndpointConnection,
        onLost: (connection: PoolConnection, reason: string) => void,
    ) {
        this.wire = wire;
        this.#onLost = onLost;
        wire.setHandler({
            frames: frames => {
                this.#frames(frames);
            },
            drained: () => this.#owner?.drained(),
            closed: reason => {
                this.#lost(reason);
            },
        });
    }

    get closed(): boolean {
        return this.#isClosed;
    }

    /** Answers (ReadyForQuery) that are still to come. */
    get outstandingResponses(): number {
        return this.#outstandingResponses;
    }

    /** Transaction status byte of the last ReadyForQuery. */
    get status(): number {
        return this.#status;
    }

    get isReusable(): boolean {
        return !this.#isClosed && !this.mustClose && this.#outstandingResponses === 0
            && this.#status === TransactionStatus.Idle;
    }

    own(owner: ConnectionOwner): void {
        this.#owner = owner;
    }

    clearOwner(): void {
        this.#owner = undefined;
    }

    /** Sends bytes that the endpoint answers with `answers` times ReadyForQuery. */
    send(bytes: Uint8Array, responses: number): boolean {
        this.#outstandingResponses += responses;
        return this.wire.send(bytes);
    }

    close(): void {
        if (!this.#isClosed) {
            this.#isClosed = true;
            this.#owner = undefined;
            this.wire.close();
        }
    }

    #frames(frames: readonly Frame[]): void {
        if (this.#isClosed) {
            return;
        }
        for (const frame of frames) {
            if (frame.type === FromEndpoint.ReadyForQuery) {
                this.#outstandingResponses -= 1;
                this.#status = frame.bytes[5] ?? TransactionStatus.Failed;
                this.mustClose ||= this.#outstandingResponses < 0;
            }
            else if (frame.type === FromEndpoint.ErrorResponse) {
                this.#checkError(frame);
            }
            this.#owner?.frame(frame);
        }
        this.#owner?.chunkEnd();
    }

    #checkError(frame: Frame): void {
        const idle = this.#outstandingResponses === 0;
        this.mustClose ||= idle || STALE_STATEMENT_CODES.has(errorCode(frame.bytes));
    }

    #lost(reason: string): void {
        if (this.#isClosed) {
            return;
        }
        this.#isClosed = true;
        const owner = this.#owner;
        this.#owner = undefined;
        this.#onLost(this, reason);
        owner?.lost(reason);
    }
}
