import type { Position, Term } from "@medlarledge/protocol";
import type { HeldResponse } from "./acknowledgement-gate.js";
import type { DatabaseContext } from "./database-context.js";

/** Delay before the primary's position is queried again after a query that failed. */
const POSITION_RETRY_DELAY_MS = 10;

export interface WriteAcknowledgementListener {
    /** The response may be sent, in this turn of the event loop only. */
    released(position: Position): void;
    termEnded(): void;
}

/**
 * Delays the response to one write until its position is known, a replica has it (with `acknowledge: "replica"`) and
 * the lease allows the acknowledgement.
 */
export class WriteAcknowledgement implements HeldResponse {
    readonly #database: DatabaseContext;
    readonly #listener: WriteAcknowledgementListener;
    #term: Term = 0;
    #position: Position = 0;
    /** Incremented when a write ends, so that late results of its position query are ignored. */
    #generation = 0;
    #cancel: (() => void) | undefined;

    constructor(database: DatabaseContext, listener: WriteAcknowledgementListener) {
        this.#database = database;
        this.#listener = listener;
    }

    get term(): Term {
        return this.#term;
    }

    /** Waits for the acknowledgement of a write that is at or before `position` in the log of `term`. */
    awaitAcknowledgement(term: Term, position: Position): void {
        this.#term = term;
        this.#position = position;
        if (this.#database.settings()?.acknowledge === "primary") {
            this.#database.acknowledgementGate.submit(this);
            return;
        }
        this.#cancel = this.#database.replicas.wait(term, position, () => {
            this.#cancel = undefined;
            this.#database.acknowledgementGate.submit(this);
        });
    }

    /** Queries the position over another connection, since the write's own is already in the next transaction. */
    queryPositionAndAwait(term: Term): void {
        const generation = this.#generation;
        this.#database.primaryPosition.request(position => {
            if (generation !== this.#generation) {
                return;
            }
            if (position !== undefined) {
                this.awaitAcknowledgement(term, position);
                return;
            }
            this.#cancel = this.#database.environment.schedule(POSITION_RETRY_DELAY_MS, () => {
                this.queryPositionAndAwait(term);
            });
        });
    }

    stop(): void {
        this.#generation += 1;
        this.#cancel?.();
        this.#cancel = undefined;
        this.#database.acknowledgementGate.withdraw(this);
    }

    release(): void {
        this.#listener.released(this.#position);
    }

    termEnded(): void {
        this.#listener.termEnded();
    }
}
