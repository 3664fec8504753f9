import type { DatabaseView, LeaseGranted, Term } from "@medlarledge/protocol";

export interface HostLeaseOptions {
    readonly leaseMs: number;
    readonly driftMarginMs: number;
    readonly renewMs: number;
}

/** Maximum number of unanswered renewals tracked; a lease of 400 ms renewed every 100 ms needs 4. */
const MAX_OUTSTANDING = 64;

/** The lease of an entry host; one lease covers all databases. */
export class HostLease {
    readonly #options: HostLeaseOptions;
    #sequence = 0;
    #lastSentAt = Number.NEGATIVE_INFINITY;
    #validUntil = Number.NEGATIVE_INFINITY;
    readonly #sentAt = new Map<number, number>();
    readonly #revoked = new Map<string, Term>();
    /** Highest term of each database that a received view shows as started. */
    readonly #started = new Map<string, Term>();
    #clocks: { readonly now: number; readonly wallClock: number; } | undefined;

    constructor(options: HostLeaseOptions) {
        this.#options = options;
    }

    /** Returns the sequence number to send if a renewal is due. A granted lease starts at `now`. */
    nextRenewal(now: number): { sequence: number; } | undefined {
        if (now - this.#lastSentAt < this.#options.renewMs) {
            return undefined;
        }
        this.#lastSentAt = now;
        this.#sequence++;
        this.#sentAt.set(this.#sequence, now);
        this.#sentAt.delete(this.#sequence - MAX_OUTSTANDING);
        return { sequence: this.#sequence };
    }

    /** Makes a renewal due at the next call of `nextRenewal`. */
    renewNow(): void {
        this.#lastSentAt = Number.NEGATIVE_INFINITY;
    }

    /** Extends the lease by a grant. Ignores a grant without a matching renewal. */
    granted(message: LeaseGranted, now: number): void {
        const sentAt = this.#sentAt.get(message.sequence);
        this.#sentAt.delete(message.sequence);
        if (sentAt === undefined || sentAt > now) {
            return;
        }
        const durationMs = Math.min(message.durationMs, this.#options.leaseMs);
        this.#validUntil = Math.max(this.#validUntil, sentAt + durationMs - this.#options.driftMarginMs);
    }

    /** Stores the highest revoked term; it stays revoked until the process ends. */
    revoke(database: string, term: Term): void {
        if (term > (this.#revoked.get(database) ?? -1)) {
            this.#revoked.set(database, term);
        }
    }

    /**
     * Applies the terms of a received view: writes may be acknowledged under the last term once it has started; all
     * earlier terms are revoked. Must be called before a renewal reports the view's version, because the leader treats
     * that version as an acknowledgement of the revocation.
     */
    applyView(databases: readonly DatabaseView[]): void {
        for (const { database, terms } of databases) {
            const current = terms.at(-1);
            if (current === undefined) {
                continue;
            }
            this.revoke(database, current.term - 1);
            if (current.start !== undefined) {
                this.#started.set(database, Math.max(current.term, this.#started.get(database) ?? 0));
            }
        }
    }

    /**
     * True when a write of this term may be acknowledged now. Call it immediately before the write to the caller's
     * socket, with clocks read for this call. With `wallClock`, a suspension of the machine since the last call is
     * detected here and not only at the next tick.
     */
    mayAcknowledge(database: string, term: Term, now: number, wallClock?: number): boolean {
        if (wallClock !== undefined) {
            this.detectSuspension(now, wallClock);
        }
        // A term that no received view shows as started may have been superseded without a revocation.
        const isCurrent = term <= (this.#started.get(database) ?? -1) && term > (this.#revoked.get(database) ?? -1);
        return isCurrent && this.isValid(now);
    }

    /** True while the lease is valid. The margin covers a pause between this check and the end of a system call. */
    isValid(now: number): boolean {
        return now + this.#options.driftMarginMs <= this.#validUntil;
    }

    /** End of the lease on this host's monotonic clock, in ms; negative infinity without a lease. */
    validUntil(): number {
        return this.#validUntil;
    }

    /** Ends the lease if the wall clock and the monotonic clock advanced differently since the last call. */
    detectSuspension(now: number, wallClock: number): void {
        const last = this.#clocks;
        this.#clocks = { now, wallClock };
        if (last === undefined) {
            return;
        }
        const difference = Math.abs((wallClock - last.wallClock) - (now - last.now));
        if (difference > this.#options.driftMarginMs) {
            this.#validUntil = Number.NEGATIVE_INFINITY;
            // Renewals sent before the suspension have an unknown age.
            this.#sentAt.clear();
        }
    }
}
