import type { ConnectionOwner } from "./idle-connections.js";

/** An order that waits for a connection of an owner. */
export interface OwnedWaiter {
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly owner: ConnectionOwner;
}

/** The orders that wait for connections, by owner; the owner that has waited longest comes first. */
export class WaitingOwners<Waiter extends OwnedWaiter> {
    readonly #waiters = new Map<ConnectionOwner, Set<Waiter>>();

    add(waiter: Waiter): void {
        const { owner } = waiter;
        this.#waiters.set(owner, (this.#waiters.get(owner) ?? new Set()).add(waiter));
    }

    delete(waiter: Waiter): void {
        const waiters = this.#waiters.get(waiter.owner);
        waiters?.delete(waiter);
        if (waiters?.size === 0) {
            this.#waiters.delete(waiter.owner);
        }
    }

    /** Number of waiting orders of an owner. */
    count(owner: ConnectionOwner): number {
        return this.#waiters.get(owner)?.size ?? 0;
    }

    /** Of the owners for which `needsOpening` holds, the one with the most urgent order, or that has waited longest. */
    next(
        needsOpening: (owner: ConnectionOwner, waiting: number) => boolean,
    ): { readonly owner: ConnectionOwner; } | undefined {
        let next: OwnedWaiter | undefined;
        for (const [owner, waiters] of this.#waiters) {
            const priority = Math.min(...[...waiters].map(waiter => waiter.priority));
            if ((next === undefined || priority < next.priority) && needsOpening(owner, waiters.size)) {
                next = { owner, priority };
            }
        }
        return next;
    }
}
