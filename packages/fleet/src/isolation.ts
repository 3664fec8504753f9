/** A host can only count as isolated if it has lost at least this many contacts; a single one may just be down. */
const MIN_CONTACTS = 2;

/** Time without any contact after which a host counts as isolated. */
export const ISOLATION_DELAY_MS = 150;

/** Number of reachable and unreachable contacts in other data centres. */
export interface RemoteContacts {
    readonly reachable: number;
    readonly unreachable: number;
}

/** Reachability of a host's contacts in other data centres. */
export interface ContactReport {
    /** Endpoints to which this host may have connections. */
    readonly endpoints: RemoteContacts;
    /** For each control host, whether a message of it arrived recently. */
    readonly controlReached: readonly boolean[];
    /** Number of entry hosts with a recent message. Missing messages of others mean nothing, since idle links are not pinged. */
    readonly entriesReached: number;
}

export function countRemoteContacts({ endpoints, controlReached, entriesReached }: ContactReport): RemoteContacts {
    const reachedCount = controlReached.filter(Boolean).length;
    return {
        reachable: endpoints.reachable + reachedCount + entriesReached,
        unreachable: endpoints.unreachable + controlReached.length - reachedCount,
    };
}

/**
 * Detects whether this host is isolated from all other data centres. An isolated host can serve few requests, while its
 * callers can still reach hosts elsewhere.
 */
export class IsolationDetector {
    #lostSince: number | undefined;
    #isIsolated = false;

    get isIsolated(): boolean {
        return this.#isIsolated;
    }

    /** True from the moment that all contacts are lost; the host should then try further contacts. */
    get isSuspected(): boolean {
        return this.#lostSince !== undefined;
    }

    /** Time since the contacts of this isolated host were lost, in ms; 0 while it is not isolated. */
    isolatedMs(now: number): number {
        return this.#isIsolated && this.#lostSince !== undefined ? now - this.#lostSince : 0;
    }

    /** Updates the contacts. Returns true when `isIsolated` changes. */
    update({ reachable, unreachable }: RemoteContacts, now: number): boolean {
        const isLost = reachable === 0 && unreachable >= MIN_CONTACTS;
        this.#lostSince = isLost ? this.#lostSince ?? now : undefined;
        const isIsolated = this.#lostSince !== undefined && now - this.#lostSince >= ISOLATION_DELAY_MS;
        const hasChanged = isIsolated !== this.#isIsolated;
        this.#isIsolated = isIsolated;
        return hasChanged;
    }
}
