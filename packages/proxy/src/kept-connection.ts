import type { Lease } from "./lease.js";
import { FromEndpoint, TransactionStatus } from "./message-type.js";
import { rollback } from "./messages.js";
import type { ConnectionOwner } from "./pool-connection.js";
import { AnswerDiscarder } from "./pool-owners.js";
import type { CallerConnection, Frame } from "./ports.js";

/** The connection that a caller keeps between its requests, for a transaction or because session state is on it. */
export class KeptConnection implements ConnectionOwner {
    readonly #caller: CallerConnection;
    readonly #lost: (inTransaction: boolean, reason: string) => void;
    #lease: Lease | undefined;
    #rollingBack = false;
    /** Session state of the caller is on it. */
    pinned = false;

    constructor(caller: CallerConnection, lost: (inTransaction: boolean, reason: string) => void) {
        this.#caller = caller;
        this.#lost = lost;
    }

    get lease(): Lease | undefined {
        return this.#lease;
    }

    get inTransaction(): boolean {
        return this.#lease !== undefined && this.#lease.connection.status !== TransactionStatus.Idle;
    }

    /** The connection cannot take a request yet. */
    get rollingBack(): boolean {
        return this.#rollingBack;
    }

    /** Transaction status that the caller is told. */
    get status(): number {
        return this.#lease?.connection.status ?? TransactionStatus.Idle;
    }

    /** Keeps the connection or gives it back, as its state demands. */
    settle(lease: Lease): void {
        this.#lease = undefined;
        if (lease.connection.closed) {
            return;
        }
        if (!this.pinned && lease.connection.status === TransactionStatus.Idle) {
            lease.pool.release(lease.connection);
            return;
        }
        this.#lease = lease;
        lease.connection.own(this);
    }

    /** Takes the connection for a request. */
    take(): Lease | undefined {
        const lease = this.#lease;
        this.#lease = undefined;
        return lease;
    }

    /** Ends the open transaction; `done` is called when the connection can be used again or is gone. */
    rollBack(done: () => void): void {
        const lease = this.#lease;
        if (lease === undefined) {
            done();
            return;
        }
        this.#rollingBack = true;
        lease.connection.own(
            new AnswerDiscarder(() => lease.connection.outstanding, () => {
                this.#rollingBack = false;
                if (this.#lease === lease) {
                    this.settle(lease);
                }
                done();
            }, reason => {
                this.#rollingBack = false;
                this.lost(reason);
                done();
            }),
        );
        lease.connection.send(rollback, 1);
    }

    /** The caller leaves. */
    giveBack(): void {
        const lease = this.take();
        if (lease === undefined || lease.connection.closed) {
            return;
        }
        if (lease.connection.clean) {
            lease.pool.release(lease.connection);
        }
        else {
            lease.pool.discard(lease.connection, true);
        }
    }

    frame(frame: Frame): void {
        // Between requests only these are sent: notifications, notices and changed parameters.
        if (frame.type !== FromEndpoint.ReadyForQuery && frame.type !== FromEndpoint.ErrorResponse) {
            this.#caller.send(frame.bytes);
        }
    }

    chunkEnd(): void {
        // Each message was sent on its own.
    }

    drained(): void {
        // Nothing is sent between requests.
    }

    lost(reason: string): void {
        const inTransaction = this.inTransaction;
        if (this.#lease !== undefined) {
            this.#lease = undefined;
            this.#lost(inTransaction, reason);
        }
    }
}
