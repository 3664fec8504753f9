import type { Position, Term } from "@medlarledge/protocol";
import type { HeldResponse } from "./acknowledgement-gate.js";
import type { DatabaseContext } from "./database-context.js";

/** Pause before the primary's position is asked again after a question that was not answered. */
const POSITION_RETRY_DELAY_MS = 10;

export interface WriteAcknowledgementListener {
    /** The answer may leave now, in this turn of the event loop. */
    released(position: Position): void;
    termEnded(): void;
}

/** The way of one write's answer to its caller: position, then replica if demanded, then lease. */
export class WriteAcknowledgement implements HeldResponse {
    readonly #database: DatabaseContext;
    readonly #listener: WriteAcknowledgementListener;
    #term: Term = 0;
    #position: Position = 0;
    /** Distinguishes the current write in answers that come later. */
    #generation = 0;
    #cancel: (() => void) | undefined;

    constructor(database: DatabaseContext, listener: WriteAcknowledgementListener) {
        this.#database = database;
        this.#listener = listener;
    }

    get term(): Term {
        return this.#term;
    }

    /** The write is at or before `position` in the log of `term`. */
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

    /** The write ended but its connection already is in the next transaction: asks over another one. */
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
