import type { Term } from "@medlarledge/protocol";

/** A complete answer to a write that must not reach its caller without a valid lease. */
export interface HeldAnswer {
    /** The term in which the write was sent. */
    readonly term: Term;
    /** Writes the answer to the caller in the same turn of the event loop. */
    release(): void;
    /** The term ended: the write may be lost. */
    termEnded(): void;
}

/** Holds answers to writes of one database until the lease allows them to leave. */
export class AnswerRelease {
    readonly #mayAcknowledge: (term: Term) => boolean;
    readonly #currentTerm: () => Term | undefined;
    readonly #held = new Set<HeldAnswer>();

    constructor(mayAcknowledge: (term: Term) => boolean, currentTerm: () => Term | undefined) {
        this.#mayAcknowledge = mayAcknowledge;
        this.#currentTerm = currentTerm;
    }

    submit(answer: HeldAnswer): void {
        if (!this.#settle(answer)) {
            this.#held.add(answer);
        }
    }

    withdraw(answer: HeldAnswer): void {
        this.#held.delete(answer);
    }

    /** The view or the lease changed. */
    changed(): void {
        for (const answer of [...this.#held]) {
            if (this.#held.has(answer) && this.#settle(answer)) {
                this.#held.delete(answer);
            }
        }
    }

    held(): number {
        return this.#held.size;
    }

    /** The lease is read immediately before each single answer leaves: a batch could outlast it. */
    #settle(answer: HeldAnswer): boolean {
        if (this.#currentTerm() !== answer.term) {
            answer.termEnded();
            return true;
        }
        if (this.#mayAcknowledge(answer.term)) {
            answer.release();
            return true;
        }
        return false;
    }
}
