import { TransactionStatus } from "./message-type.js";
import { discardAll, rollback } from "./messages.js";
import type { PoolConnection } from "./pool-connection.js";
import type { Schedule } from "./ports.js";
import { ResponseDiscarder } from "./response-discarder.js";

/** Time to drain a response that is to be discarded; a new connection costs about 12 ms, so longer does not pay. */
export const DISCARD_TIMEOUT_MS = 200;

/** Resets connections to the state of a new one, or reports that this timed out. */
export class PoolCleaner {
    readonly #schedule: Schedule;
    readonly #cleaned: (connection: PoolConnection) => void;
    readonly #timedOut: (connection: PoolConnection) => void;

    constructor(
        schedule: Schedule,
        cleaned: (connection: PoolConnection) => void,
        timedOut: (connection: PoolConnection) => void,
    ) {
        this.#schedule = schedule;
        this.#cleaned = cleaned;
        this.#timedOut = timedOut;
    }

    /** Removes the session state with DISCARD ALL. */
    reset(connection: PoolConnection): void {
        const cancelTimeout = this.#startTimeout(connection, DISCARD_TIMEOUT_MS);
        this.#waitForResponses(connection, discardAll, cancelTimeout, failed => {
            cancelTimeout();
            connection.hasSessionState = false;
            connection.mustClose ||= failed;
            connection.statements.clear();
            this.#cleaned(connection);
        });
    }

    /** Discards the pending responses; `rollBackOpen` also rolls back an open transaction. */
    discard(connection: PoolConnection, rollBackOpen: boolean, timeoutMs: number): void {
        const cancelTimeout = this.#startTimeout(connection, timeoutMs);
        const finish = (): void => {
            cancelTimeout();
            this.#cleaned(connection);
        };
        const rollBack = (): void => {
            if (rollBackOpen && connection.status !== TransactionStatus.Idle) {
                this.#waitForResponses(connection, rollback, cancelTimeout, finish);
            }
            else {
                finish();
            }
        };
        if (connection.outstandingResponses === 0) {
            rollBack();
        }
        else {
            this.#waitForResponses(connection, undefined, cancelTimeout, rollBack);
        }
    }

    #startTimeout(connection: PoolConnection, timeoutMs: number): () => void {
        return this.#schedule(timeoutMs, () => {
            this.#timedOut(connection);
        });
    }

    /** Sends the query, if any, and waits until the connection has no outstanding responses. */
    #waitForResponses(
        connection: PoolConnection,
        query: Uint8Array | undefined,
        lost: () => void,
        done: (failed: boolean) => void,
    ): void {
        connection.own(new ResponseDiscarder(() => connection.outstandingResponses, done, lost));
        if (query !== undefined) {
            connection.send(query, 1);
        }
    }
}
