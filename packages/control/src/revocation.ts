import type { LeaderContext } from "./leader-context.js";
import { startedTerm, viewOf } from "./view.js";

/** Retry interval of unacknowledged revocations, so that a lost message does not delay them by a whole lease. */
export const REVOKE_RETRY_MS = 50;

/** Revokes the last started term of one database at all hosts. */
export class Revocation {
    readonly #database: string;
    #sentAt = Number.NEGATIVE_INFINITY;
    #holders: readonly string[] = [];

    constructor(database: string) {
        this.#database = database;
    }

    /** Hosts that may still acknowledge under the revoked term. */
    holders(): readonly string[] {
        return this.#holders;
    }

    /** True once every host has acknowledged or can no longer hold a lease. Resends the revocation until then. */
    isComplete(context: LeaderContext): boolean {
        const owing = context.hosts.unacknowledgedRevocations(this.#database, context.now);
        this.#holders = owing.filter(({ mayHold }) => mayHold).map(({ record }) => record.host.id);
        const started = startedTerm(viewOf(context.state, this.#database));
        if (this.#holders.length === 0 || started === undefined) {
            return true;
        }
        if (context.now - this.#sentAt >= REVOKE_RETRY_MS) {
            this.#sentAt = context.now;
            for (const { record } of owing.filter(({ record }) => record.connected)) {
                const message = { kind: "revoke", database: this.#database, term: started.term } as const;
                context.emit({ kind: "send", to: record.host.id, message });
            }
        }
        return false;
    }
}
