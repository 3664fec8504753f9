import type { ProbedPosition } from "./safe-successor.js";

/**
 * The terms that endpoints of a group were seen leading. A primary that was cut off may have commits which the primaries
 * of later terms never had; if it were promoted, these would be in the log again, after reads that lacked them.
 */
export class SupersededPrimaries {
    /** The newest term that each endpoint was seen leading. */
    readonly #ledTerms = new Map<string, number>();

    /** The newest term of which a primary was seen; 0 before the first. */
    get newestTerm(): number {
        return Math.max(0, ...this.#ledTerms.values());
    }

    /** @param term 0 when the endpoint was not seen leading */
    seen(endpoint: string, term: number): void {
        if (term > (this.#ledTerms.get(endpoint) ?? 0)) {
            this.#ledTerms.set(endpoint, term);
        }
    }

    /** True when the endpoint led an older term than the newest, and its log has nothing of a later one yet. */
    includes(endpoint: string, position: ProbedPosition): boolean {
        const ledTerm = this.#ledTerms.get(endpoint);
        return ledTerm !== undefined && ledTerm < this.newestTerm && position.term <= ledTerm;
    }
}
