import type { Term } from "@medlarledge/protocol";

/** A complete response to a write that must not be sent without a valid lease. */
export interface HeldResponse {
    /** The term in which the write was sent. */
    readonly term: Term;
    /** Sends the response in the same turn of the event loop. */
    release(): void;
    /** The term ended before the response was sent, so the write may be lost. */
    termEnded(): void;
}

/** Holds the responses to writes of one database until the lease allows their acknowledgement. */
export class AcknowledgementGate {
    readonly #mayAcknowledge: (term: Term) => boolean;
    readonly #currentTerm: () => Term | undefined;
    readonly #held = new Set<HeldResponse>();

    constructor(mayAcknowledge: (term: Term) => boolean, currentTerm: () => Term | undefined) {
        this.#mayAcknowledge = mayAcknowledge;
        this.#currentTerm = currentTerm;
    }

    /** Sends or fails the response now if that can be decided, else holds it. */
    submit(response: HeldResponse): void {
        if (!this.#tryComplete(response)) {
            this.#held.add(response);
        }
    }

    withdraw(response: HeldResponse): void {
        this.#held.delete(response);
    }

    /** Checks all held responses again after the view or the lease changed. */
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

    /**
     * Releases or fails the response, or returns false when it must wait. The lease is checked immediately before each
     * response, since it could expire while a batch is sent.
     */
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
