import type { ConnectionCheckout } from "./connection-checkout.js";
import { FromEndpoint, TransactionStatus } from "./message-type.js";
import { rollback } from "./messages.js";
import type { ConnectionOwner } from "./pool-connection.js";
import type { CallerConnection, Frame } from "./ports.js";
import { ResponseDiscarder } from "./response-discarder.js";

/** The connection reserved for a caller between its requests, because of an open transaction or of session state. */
export class ReservedConnection implements ConnectionOwner {
    readonly #caller: CallerConnection;
    readonly #onLost: (inTransaction: boolean, reason: string) => void;
    #checkout: ConnectionCheckout | undefined;
    #isRollingBack = false;
    /** The connection carries session state of the caller. */
    pinned = false;

    constructor(caller: CallerConnection, lost: (inTransaction: boolean, reason: string) => void) {
        this.#caller = caller;
        this.#onLost = lost;
    }

    get checkout(): ConnectionCheckout | undefined {
        return this.#checkout;
    }

    get inTransaction(): boolean {
        return this.#checkout !== undefined && this.#checkout.connection.status !== TransactionStatus.Idle;
    }

    /** A rollback is running, so the connection cannot run a request yet. */
    get isRollingBack(): boolean {
        return this.#isRollingBack;
    }

    /** Transaction status to report to the caller in ReadyForQuery. */
    get status(): number {
        return this.#checkout?.connection.status ?? TransactionStatus.Idle;
    }

    /** Reserves the connection if it is pinned or in a transaction, else returns it to its pool. */
    reserveOrRelease(checkout: ConnectionCheckout): void {
        this.#checkout = undefined;
        if (checkout.connection.closed) {
            return;
        }
        if (!this.pinned && checkout.connection.status === TransactionStatus.Idle) {
            checkout.pool.release(checkout.connection);
            return;
        }
        this.#checkout = checkout;
        checkout.connection.own(this);
    }

    /** Ends the reservation and returns the connection for the next request, or undefined when none is reserved. */
    takeCheckout(): ConnectionCheckout | undefined {
        const checkout = this.#checkout;
        this.#checkout = undefined;
        return checkout;
    }

    /** Rolls back the open transaction; `done` is called when the connection can be used again or was lost. */
    rollBack(done: () => void): void {
        const checkout = this.#checkout;
        if (checkout === undefined) {
            done();
            return;
        }
        this.#isRollingBack = true;
        checkout.connection.own(
            new ResponseDiscarder(() => checkout.connection.outstandingResponses, () => {
                this.#isRollingBack = false;
                if (this.#checkout === checkout) {
                    this.reserveOrRelease(checkout);
                }
                done();
            }, reason => {
                this.#isRollingBack = false;
                this.lost(reason);
                done();
            }),
        );
        checkout.connection.send(rollback, 1);
    }

    /** Returns the connection to its pool after the caller disconnected, with a rollback if a transaction is open. */
    returnToPool(): void {
        const checkout = this.takeCheckout();
        if (checkout === undefined || checkout.connection.closed) {
            return;
        }
        if (checkout.connection.isReusable) {
            checkout.pool.release(checkout.connection);
        }
        else {
            checkout.pool.discard(checkout.connection, true);
        }
    }

    frame(frame: Frame): void {
        // Between requests PostgreSQL sends only notifications, notices and changed parameters.
        if (frame.type !== FromEndpoint.ReadyForQuery && frame.type !== FromEndpoint.ErrorResponse) {
            this.#caller.send(frame.bytes);
        }
    }

    chunkEnd(): void {
        // `frame` has sent each message on its own.
    }

    drained(): void {
        // Nothing is sent to the endpoint between requests, so there is no back-pressure to release.
    }

    lost(reason: string): void {
        const inTransaction = this.inTransaction;
        if (this.#checkout !== undefined) {
            this.#checkout = undefined;
            this.#onLost(inTransaction, reason);
        }
    }
}
