import type { Term } from "@medlarledge/protocol";

/** A complete answer to a write that must not reach its caller without a valid lease. */
export interface HeldResponse {
    /** The term in which the write was sent. */
    readonly term: Term;
    /** Writes the answer to the caller in the same turn of the event loop. */
    release(): void;
    /** The term ended: the write may be lost. */
    termEnded(): void;
}

/** Holds answers to writes of one database until the lease allows them to leave. */
export class AcknowledgementGate {
    readonly #mayAcknowledge: (term: Term) => boolean;
    readonly #currentTerm: () => Term | undefined;
    readonly #held = new Set<HeldResponse>();

    constructor(mayAcknowledge: (term: Term) => boolean, currentTerm: () => Term | undefined) {
        this.#mayAcknowledge = mayAcknowledge;
        this.#currentTerm = currentTerm;
    }

    submit(response: HeldResponse): void {
        if (!this.#tryComplete(response)) {
            this.#held.add(response);
        }
    }

    withdraw(response: HeldResponse): void {
        this.#held.delete(response);
    }

    /** The view or the lease changed. */
    changed(): void {
        for (const response of [...this.#held]) {
            if (this.#held.has(response) && this.#tryComplete(response)) {
                this.#held.delete(response);
            }
        }
    }

    held(): number {
        return this.#held.size;
    }

    /** The lease is read immediately before each single answer leaves: a batch could outlast it. */
    #tryComplete(response: HeldResponse): boolean {
        if (this.#currentTerm() !== response.term) {
            response.termEnded();
            return true;
        }
        if (this.#mayAcknowledge(response.term)) {
            response.release();
            return true;
        }
        return false;
    }
}
