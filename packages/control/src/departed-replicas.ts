import { type EndpointRecord, EndpointRole } from "@medlarledge/protocol";

/**
 * Knows which of the replicas that have left may be the only ones with some acknowledged commits. Such a replica counts
 * until its log has been transferred to another endpoint, or until enough of the present ones have received all that
 * the primary had after it left: later commits are acknowledged by those that are present.
 */
export class DepartedReplicas {
    readonly #released = new Set<string>();

    /**
     * Returns the replicas that may hold such commits.
     * @param departed endpoints that have left without a successor at their address
     */
    holders(departed: readonly EndpointRecord[]): readonly EndpointRecord[] {
        const known = new Set(departed.map(keyOf));
        [...this.#released].filter(key => !known.has(key)).forEach(key => this.#released.delete(key));
        return departed.filter(record => record.role !== EndpointRole.Primary && !this.#released.has(keyOf(record)));
    }

    /** Stops counting replicas whose commits others have received. */
    release(departed: readonly EndpointRecord[]): void {
        departed.forEach(record => this.#released.add(keyOf(record)));
    }
}

function keyOf({ id, born }: EndpointRecord): string {
    return `${id} ${born}`;
}
