import type { Position } from "@medlarledge/protocol";
import type { DatabaseContext } from "./database-context.js";
import type { SessionState } from "./ports.js";

/** What the floor of a session means for its next request. */
export type FloorDecision =
    | { readonly kind: "floor"; readonly position: Position | undefined; }
    | { readonly kind: "lost"; }
    /** `retry` is called when the primary's position is known or could not be read. */
    | { readonly kind: "wait"; };

/** Resolves one caller's floor under the current term, and asks for the first one. */
export class SessionFloor {
    readonly #database: DatabaseContext;
    readonly #session: SessionState;
    #asking = false;
    #serial = 0;

    constructor(database: DatabaseContext, session: SessionState) {
        this.#database = database;
        this.#session = session;
    }

    /** @param needed a session without a floor gets the primary's position as of now. */
    decide(needed: boolean, retry: (known: boolean) => void): FloorDecision {
        const floor = this.#session.floor();
        if (floor === undefined) {
            if (!needed) {
                return { kind: "floor", position: undefined };
            }
            this.#ask(retry);
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
                // The view follows.
                return { kind: "wait" };
        }
    }

    stop(): void {
        this.#asking = false;
        this.#serial += 1;
    }

    #ask(retry: (known: boolean) => void): void {
        if (this.#asking) {
            return;
        }
        this.#asking = true;
        const serial = this.#serial;
        const term = this.#database.term();
        this.#database.primaryPosition.request(position => {
            if (serial !== this.#serial) {
                return;
            }
            this.#asking = false;
            const known = position !== undefined && term !== undefined && term === this.#database.term();
            if (known) {
                this.#session.raise({ term, position });
            }
            retry(known);
        });
    }
}
