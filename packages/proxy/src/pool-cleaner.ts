import { TransactionStatus } from "./message-type.js";
import { discardAll, rollback } from "./messages.js";
import type { PoolConnection } from "./pool-connection.js";
import { AnswerDiscarder } from "./pool-owners.js";
import type { Schedule } from "./ports.js";

/** Time to finish an answer that nobody waits for; a new connection costs about 12 ms, so longer does not pay. */
export const DISCARD_MS = 200;

/** Brings connections back into the state of a new one, or gives up on them. */
export class PoolCleaner {
    readonly #schedule: Schedule;
    readonly #cleaned: (connection: PoolConnection) => void;
    readonly #gaveUp: (connection: PoolConnection) => void;

    constructor(
        schedule: Schedule,
        cleaned: (connection: PoolConnection) => void,
        gaveUp: (connection: PoolConnection) => void,
    ) {
        this.#schedule = schedule;
        this.#cleaned = cleaned;
        this.#gaveUp = gaveUp;
    }

    /** Removes the session state. */
    reset(connection: PoolConnection): void {
        const stop = this.#limit(connection, DISCARD_MS);
        this.#wait(connection, discardAll, stop, failed => {
            stop();
            connection.dirty = false;
            connection.unfit ||= failed;
            connection.statements.clear();
            this.#cleaned(connection);
        });
    }

    /** Drops the answers that are still to come; `undo` rolls back the transaction. */
    discard(connection: PoolConnection, undo: boolean, limitMs: number): void {
        const stop = this.#limit(connection, limitMs);
        const finish = (): void => {
            stop();
            this.#cleaned(connection);
        };
        const rollBack = (): void => {
            if (undo && connection.status !== TransactionStatus.Idle) {
                this.#wait(connection, rollback, stop, finish);
            }
            else {
                finish();
            }
        };
        if (connection.outstanding === 0) {
            rollBack();
        }
        else {
            this.#wait(connection, undefined, stop, rollBack);
        }
    }

    #limit(connection: PoolConnection, limitMs: number): () => void {
        return this.#schedule(limitMs, () => {
            this.#gaveUp(connection);
        });
    }

    /** Sends a query, if any, and waits until the connection has nothing outstanding. */
    #wait(
        connection: PoolConnection,
        query: Uint8Array | undefined,
        lost: () => void,
        done: (failed: boolean) => void,
    ): void {
        connection.own(new AnswerDiscarder(() => connection.outstanding, done, lost));
        if (query !== undefined) {
            connection.send(query, 1);
        }
    }
}
