import { FromEndpoint, TransactionStatus } from "./message-type.js";
import { errorCode } from "./messages.js";
import type { EndpointConnection, Frame } from "./ports.js";
import { ConnectionStatements } from "./prepared-statements.js";

/** The current user of a connection, which receives its messages. */
export interface ConnectionOwner {
    frame(frame: Frame): void;
    /** All messages of one received chunk have been passed to `frame`. */
    chunkEnd(): void;
    drained(): void;
    /** The connection was closed by the endpoint or the network and no longer has an owner. */
    lost(reason: string): void;
}

/** SQLSTATEs that show that the record of the connection's prepared statements may be wrong. */
const STALE_STATEMENT_CODES = new Set(["0A000", "26000", "42P05"]);

/** One connection of a pool, with at most one owner at a time. */
export class PoolConnection {
    readonly wire: EndpointConnection;
    readonly statements = new ConnectionStatements();
    /** Session state may have changed, so that DISCARD ALL must run before the next owner. */
    hasSessionState = false;
    /** The connection must be closed instead of reused. */
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

    /** Number of pending responses, each of which ends with ReadyForQuery. */
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

    /** Passes further messages to this owner instead of the former one. */
    own(owner: ConnectionOwner): void {
        this.#owner = owner;
    }

    clearOwner(): void {
        this.#owner = undefined;
    }

    /** Sends bytes that cause `responses` ReadyForQuery messages. Returns false when the socket buffer is full. */
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
