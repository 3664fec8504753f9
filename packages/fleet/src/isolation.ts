/** Contacts in other data centres that must all be lost before a host takes itself for cut off; one may just be down. */
const LEAST_CONTACTS = 2;

/** Time without any contact before a host takes itself for cut off. */
export const ISOLATED_MS = 150;

/** How the endpoints and control hosts of other data centres can be reached. */
export interface RemoteContacts {
    readonly reachable: number;
    readonly unreachable: number;
}

/**
 * Whether this host is cut off from all other data centres. It then serves little, and its callers are better served by
 * hosts elsewhere, which they can still reach.
 */
export class Isolation {
    #lostSince: number | undefined;
    #isIsolated = false;

    get isIsolated(): boolean {
        return this.#isIsolated;
    }

    /** Time since this host has taken itself for cut off, in ms; 0 while it does not. */
    isolatedFor(now: number): number {
        return this.#isIsolated && this.#lostSince !== undefined ? now - this.#lostSince : 0;
    }

    /** Returns true when the judgement changes. */
    update({ reachable, unreachable }: RemoteContacts, now: number): boolean {
        const isLost = reachable === 0 && unreachable >= LEAST_CONTACTS;
        this.#lostSince = isLost ? this.#lostSince ?? now : undefined;
        const isIsolated = this.#lostSince !== undefined && now - this.#lostSince >= ISOLATED_MS;
        const hasChanged = isIsolated !== this.#isIsolated;
        this.#isIsolated = isIsolated;
        return hasChanged;
    }
}
