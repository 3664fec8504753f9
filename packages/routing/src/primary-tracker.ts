/**
 * Minimum time before an endpoint that denied being the primary becomes a candidate again; promotions take some
 * hundred ms.
 */
export const DENIED_CANDIDATE_RETRY_MS = 40;

/** An answer that showed an endpoint to be the primary of a term. */
export interface PrimaryConfirmation {
    readonly endpoint: string;
    readonly term: number;
    readonly at: number;
}

interface PromotionInstruction {
    readonly endpoint: string;
    readonly fence: number;
}

/**
 * Tracks which endpoint of a group is taken for the primary. The result may be wrong: an endpoint that is not the
 * primary refuses what only the primary may do, so a wrong guess costs one round trip.
 */
export class PrimaryTracker {
    #confirmation: PrimaryConfirmation | undefined;
    #promotion: PromotionInstruction | undefined;
    /** Endpoints that announced themselves as the primary, with the time of the announcement. */
    readonly #announcedAt = new Map<string, number>();
    readonly #deniedAt = new Map<string, number>();

    /** Highest term for which a primary was confirmed; 0 before the first. */
    get term(): number {
        return this.#confirmation?.term ?? 0;
    }

    /** The last confirmation, even if the endpoint has denied being the primary since. */
    get lastConfirmation(): PrimaryConfirmation | undefined {
        return this.#confirmation;
    }

    /** The endpoint that was last confirmed as the primary, unless it has denied it since. */
    get confirmed(): string | undefined {
        const confirmation = this.#confirmation;
        return confirmation === undefined || this.#hasDenied(confirmation) ? undefined : confirmation.endpoint;
    }

    /** Records that an endpoint answered as the primary of a term. Returns true when the endpoint or term is new. */
    recordConfirmation(endpoint: string, term: number, now: number): boolean {
        if (term < this.term) {
            return false;
        }
        const isChange = this.confirmed !== endpoint || term > this.term;
        this.#confirmation = { endpoint, term, at: now };
        this.#deniedAt.delete(endpoint);
        return isChange;
    }

    /** Records that an endpoint refused what only the primary may do. */
    recordDenial(endpoint: string, now: number): void {
        this.#deniedAt.set(endpoint, now);
        this.#announcedAt.delete(endpoint);
    }

    /** Records an endpoint's announcement of its role. `at` increases from announcement to announcement. */
    recordAnnouncement(endpoint: string, leads: boolean, at: number): void {
        if (leads) {
            this.#announcedAt.set(endpoint, at);
        }
        else {
            this.#announcedAt.delete(endpoint);
        }
    }

    /** Records that control ordered the endpoint's promotion. An order with an older fence is ignored. */
    order(endpoint: string, fence: number): void {
        if (fence > (this.#promotion?.fence ?? -1)) {
            this.#promotion = { endpoint, fence };
        }
    }

    /** Discards the announcement and denial of an endpoint. */
    remove(endpoint: string): void {
        this.#announcedAt.delete(endpoint);
        this.#deniedAt.delete(endpoint);
    }

    /**
     * Returns the endpoints to try as the primary, best first: the confirmed one, the one being promoted, then those
     * that announced themselves, newest first. Endpoints that denied it recently are left out.
     */
    candidates(now: number): readonly string[] {
        const announced = [...this.#announcedAt].sort((left, right) => right[1] - left[1]).map(([endpoint]) =>
            endpoint
        );
        const promoted = this.#promotion === undefined ? [] : [this.#promotion.endpoint];
        const confirmed = this.confirmed;
        const all = new Set([...(confirmed === undefined ? [] : [confirmed]), ...promoted, ...announced]);
        return [...all].filter(endpoint =>
            now - (this.#deniedAt.get(endpoint) ?? -Infinity) >= DENIED_CANDIDATE_RETRY_MS
        );
    }

    #hasDenied(confirmation: PrimaryConfirmation): boolean {
        return (this.#deniedAt.get(confirmation.endpoint) ?? -Infinity) >= confirmation.at;
    }
}
