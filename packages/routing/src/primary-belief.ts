/** A candidate that denied leading is asked again after this time; promotions take some hundred ms. */
export const ASK_AGAIN_MS = 40;

export interface Proof {
    readonly endpoint: string;
    readonly term: number;
    readonly at: number;
}

interface Instruction {
    readonly endpoint: string;
    readonly fence: number;
}

/**
 * Which endpoint of a group is believed to lead. Beliefs need not be right: an endpoint that does not lead refuses
 * what only a leader may do, so a wrong one costs a round trip.
 */
export class PrimaryBelief {
    #proof: Proof | undefined;
    #ordered: Instruction | undefined;
    readonly #claims = new Map<string, number>();
    readonly #deniedAt = new Map<string, number>();

    /** Highest term in which an endpoint was seen to lead. */
    get term(): number {
        return this.#proof?.term ?? 0;
    }

    /** The endpoint last seen to lead, whether or not it has denied it since. */
    get lastProof(): Proof | undefined {
        return this.#proof;
    }

    /** The endpoint that was last seen to lead and has not denied it since. */
    get proved(): string | undefined {
        const proof = this.#proof;
        return proof === undefined || this.#hasDenied(proof) ? undefined : proof.endpoint;
    }

    /** The endpoint answered as the leader of a term. Returns true when this is news. */
    prove(endpoint: string, term: number, now: number): boolean {
        if (term < this.term) {
            return false;
        }
        const isNews = this.proved !== endpoint || term > this.term;
        this.#proof = { endpoint, term, at: now };
        this.#deniedAt.delete(endpoint);
        return isNews;
    }

    /** The endpoint refused what only a leader may do. */
    deny(endpoint: string, now: number): void {
        this.#deniedAt.set(endpoint, now);
        this.#claims.delete(endpoint);
    }

    /** The endpoint announced its role at a time that rises from announcement to announcement. */
    claim(endpoint: string, leads: boolean, at: number): void {
        if (leads) {
            this.#claims.set(endpoint, at);
        }
        else {
            this.#claims.delete(endpoint);
        }
    }

    /** Control ordered the endpoint's promotion. */
    order(endpoint: string, fence: number): void {
        if (fence > (this.#ordered?.fence ?? -1)) {
            this.#ordered = { endpoint, fence };
        }
    }

    forget(endpoint: string): void {
        this.#claims.delete(endpoint);
        this.#deniedAt.delete(endpoint);
    }

    /**
     * Endpoints to try as the primary, best first: the proved one, the one being promoted, those that claim to lead.
     * One that denied it a moment ago is left out.
     */
    candidates(now: number): readonly string[] {
        const claims = [...this.#claims].sort((left, right) => right[1] - left[1]).map(([endpoint]) => endpoint);
        const ordered = this.#ordered === undefined ? [] : [this.#ordered.endpoint];
        const proved = this.proved;
        const all = new Set([...(proved === undefined ? [] : [proved]), ...ordered, ...claims]);
        return [...all].filter(endpoint => now - (this.#deniedAt.get(endpoint) ?? -Infinity) >= ASK_AGAIN_MS);
    }

    #hasDenied(proof: Proof): boolean {
        return (this.#deniedAt.get(proof.endpoint) ?? -Infinity) >= proof.at;
    }
}
