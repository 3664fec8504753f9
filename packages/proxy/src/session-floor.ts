import type { Position } from "@medlarledge/protocol";
import type { DatabaseContext } from "./database-context.js";
import type { SessionState } from "./ports.js";

/** What the read floor of a session requires of its next request. */
export type FloorDecision =
    | { readonly kind: "floor"; readonly position: Position | undefined; }
    | { readonly kind: "lost"; }
    /** Wait for the primary's position, after which `retry` is called, or for the view of a newer term. */
    | { readonly kind: "wait"; };

/** Checks one session's read floor against the current terms, and queries the primary for a first floor. */
export class SessionFloor {
    readonly #database: DatabaseContext;
    readonly #session: SessionState;
    #isQuerying = false;
    #generation = 0;

    constructor(database: DatabaseContext, session: SessionState) {
        this.#database = database;
        this.#session = session;
    }

    /**
     * @param isRequired whether a session without a floor must first get the primary's current position as its floor.
     */
    decide(isRequired: boolean, retry: (isKnown: boolean) => void): FloorDecision {
        const floor = this.#session.floor();
        if (floor === undefined) {
            if (!isRequired) {
                return { kind: "floor", position: undefined };
            }
            this.#queryPrimaryPosition(retry);
            return { kind: "wait" };
        }
        const check = this.#database.environment.dependencies.checkFloor(this.#database.view()?.terms ?? [], floor);
        switch (check.kind) {
            case "holds":
                return { kind: "floor", position: check.position };
            case "lost":
                this.#session.takeLoss(check);
                return { kind: "lost" };
            case "unknownTerm":
                // The view of this term has not arrived yet; its change runs the selection again.
                return { kind: "wait" };
        }
    }

    stop(): void {
        this.#isQuerying = false;
        this.#generation += 1;
    }

    #queryPrimaryPosition(retry: (known: boolean) => void): void {
        if (this.#isQuerying) {
            return;
        }
        this.#isQuerying = true;
        const generation = this.#generation;
        const term = this.#database.term();
        this.#database.primaryPosition.request(position => {
            if (generation !== this.#generation) {
                return;
            }
            this.#isQuerying = false;
            const known = position !== undefined && term !== undefined && term === this.#database.term();
            if (known) {
                this.#session.raise({ term, position });
            }
            retry(known);
        });
    }
}
