import type { Position, Term } from "@medlarledge/protocol";
import type { HeldAnswer } from "./answer-release.js";
import type { DatabaseContext } from "./database-context.js";

/** Pause before the primary's position is asked again after a question that was not answered. */
const RETRY_MS = 10;

export interface WriteReleaseListener {
    /** The answer may leave now, in this turn of the event loop. */
    released(position: Position): void;
    termEnded(): void;
}

/** The way of one write's answer to its caller: position, then replica if demanded, then lease. */
export class WriteRelease implements HeldAnswer {
    readonly #database: DatabaseContext;
    readonly #listener: WriteReleaseListener;
    #term: Term = 0;
    #position: Position = 0;
    /** Distinguishes the current write in answers that come later. */
    #serial = 0;
    #cancel: (() => void) | undefined;

    constructor(database: DatabaseContext, listener: WriteReleaseListener) {
        this.#database = database;
        this.#listener = listener;
    }

    get term(): Term {
        return this.#term;
    }

    /** The write is at or before `position` in the log of `term`. */
    written(term: Term, position: Position): void {
        this.#term = term;
        this.#position = position;
        if (this.#database.settings()?.acknowledge === "primary") {
            this.#database.release.submit(this);
            return;
        }
        this.#cancel = this.#database.replicas.wait(term, position, () => {
            this.#cancel = undefined;
            this.#database.release.submit(this);
        });
    }

    /** The write ended but its connection already is in the next transaction: asks over another one. */
    writtenBefore(term: Term): void {
        const serial = this.#serial;
        this.#database.primaryPosition.request(position => {
            if (serial !== this.#serial) {
                return;
            }
            if (position !== undefined) {
                this.written(term, position);
                return;
            }
            this.#cancel = this.#database.environment.schedule(RETRY_MS, () => {
                this.writtenBefore(term);
            });
        });
    }

    stop(): void {
        this.#serial += 1;
        this.#cancel?.();
        this.#cancel = undefined;
        this.#database.release.withdraw(this);
    }

    release(): void {
        this.#listener.released(this.#position);
    }

    termEnded(): void {
        this.#listener.termEnded();
    }
}
