/** Contacts in other data centres that must all be lost before a host takes itself for cut off; one may just be down. */
const MIN_CONTACTS = 2;

/** Time without any contact before a host takes itself for cut off. */
export const ISOLATION_DELAY_MS = 150;

/** How the endpoints and control hosts of other data centres can be reached. */
export interface RemoteContacts {
    readonly reachable: number;
    readonly unreachable: number;
}

/** What a host knows of its contacts in other data centres. */
export interface ContactReport {
    /** Endpoints to which this host holds connections. */
    readonly endpoints: RemoteContacts;
    /** For each control host, whether it was heard just now. */
    readonly controlReached: readonly boolean[];
    /** Entry hosts that were heard just now. Their silence says nothing, since idle links are not pinged. */
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
 * Whether this host is cut off from all other data centres. It then serves little, and its callers are better served by
 * hosts elsewhere, which they can still reach.
 */
export class IsolationDetector {
    #lostSince: number | undefined;
    #isIsolated = false;

    get isIsolated(): boolean {
        return this.#isIsolated;
    }

    /** All contacts are lost, for however short a time: others should be tried before that means anything. */
    get isSuspected(): boolean {
        return this.#lostSince !== undefined;
    }

    /** Time since this host has taken itself for cut off, in ms; 0 while it does not. */
    isolatedMs(now: number): number {
        return this.#isIsolated && this.#lostSince !== undefined ? now - this.#lostSince : 0;
    }

    /** Returns true when the judgement changes. */
    update({ reachable, unreachable }: RemoteContacts, now: number): boolean {
        const isLost = reachable === 0 && unreachable >= MIN_CONTACTS;
        this.#lostSince = isLost ? this.#lostSince ?? now : undefined;
        const isIsolated = this.#lostSince !== undefined && now - this.#lostSince >= ISOLATION_DELAY_MS;
        const hasChanged = isIsolated !== this.#isIsolated;
        this.#isIsolated = isIsolated;
        return hasChanged;
    }
}
