/** Time after which an unanswered request counts as failed, and after which a host may be asked again without news. */
const REQUEST_TIMEOUT_MS = 400;

interface PendingRequest {
    readonly host: string;
    readonly sentAt: number;
}

/**
 * Decides which control host an entry host asks for the configuration. A control host with a stalled disk, or without
 * contact to the others, offers and sends an older configuration than theirs for as long as that lasts.
 */
export class ConfigurationRequests {
    /** Newest configuration number that each linked control host is known to have. */
    readonly #numbers = new Map<string, number>();
    readonly #askedAt = new Map<string, number>();
    #newest = 0;
    #pending: PendingRequest | undefined;

    /** The highest number of which this host has heard; 0 before the first. */
    get newest(): number {
        return this.#newest;
    }

    /** Records the number of the configuration that a control host has. */
    offered(host: string, number: number): void {
        this.#numbers.set(host, Math.max(number, this.#numbers.get(host) ?? 0));
        this.confirmed(number);
    }

    /** Records that a configuration with this number exists, whichever hosts have it. */
    confirmed(number: number): void {
        this.#newest = Math.max(this.#newest, number);
    }

    /** Records the number of the configuration that a control host sent. */
    answered(host: string, number: number): void {
        if (this.#pending?.host === host) {
            this.#pending = undefined;
            this.#numbers.set(host, number);
        }
        this.offered(host, number);
    }

    /** Discards what is known of a control host to which the link is lost. */
    disconnected(host: string): void {
        this.#numbers.delete(host);
        this.#askedAt.delete(host);
        if (this.#pending?.host === host) {
            this.#pending = undefined;
        }
    }

    /**
     * Returns the control host to ask now, and records the request; undefined when the newest configuration is in force,
     * when an answer is awaited, or when all hosts without a newer one have just been asked.
     * @param inForce number of the configuration in force; 0 before the first
     * @param linked ids of the linked control hosts
     */
    next(inForce: number, linked: readonly string[], now: number): string | undefined {
        this.#expirePending(now);
        if (this.#newest <= inForce || this.#pending !== undefined) {
            return undefined;
        }
        const candidates = linked.filter(host =>
            this.#numberOf(host) > inForce || now - this.#lastAskedAt(host) >= REQUEST_TIMEOUT_MS
        );
        const [best] = candidates.sort((left, right) =>
            this.#numberOf(right) - this.#numberOf(left) || this.#lastAskedAt(left) - this.#lastAskedAt(right)
        );
        if (best !== undefined) {
            this.#pending = { host: best, sentAt: now };
            this.#askedAt.set(best, now);
        }
        return best;
    }

    #numberOf(host: string): number {
        return this.#numbers.get(host) ?? 0;
    }

    #lastAskedAt(host: string): number {
        return this.#askedAt.get(host) ?? Number.NEGATIVE_INFINITY;
    }

    /** A host that did not answer in time is asked after the others, unless it offers a configuration again. */
    #expirePending(now: number): void {
        const pending = this.#pending;
        if (pending !== undefined && now - pending.sentAt >= REQUEST_TIMEOUT_MS) {
            this.#pending = undefined;
            this.#numbers.delete(pending.host);
        }
    }
}
