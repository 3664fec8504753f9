/** An entry that waits for a connection. */
export interface Waiter<Item> {
    readonly item: Item;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly giveUpAt: number;
}

/** Queue for connections, ordered by priority and, within a priority, by arrival. */
export class WaitQueue<Item> {
    readonly #waiters: Waiter<Item>[] = [];

    get size(): number {
        return this.#waiters.length;
    }

    push(waiter: Waiter<Item>): void {
        const behind = this.#waiters.findIndex(other => other.priority > waiter.priority);
        this.#waiters.splice(behind < 0 ? this.#waiters.length : behind, 0, waiter);
    }

    /** Number of entries that would be served before a new one of this priority. */
    countAhead(priority: number): number {
        return this.#waiters.filter(waiter => waiter.priority <= priority).length;
    }

    /** Removes and returns the next entry; undefined when the queue is empty. */
    shift(): Item | undefined {
        return this.#waiters.shift()?.item;
    }

    /** Removes and returns the next entry for which `canServe` holds; undefined when there is none. */
    take(canServe: (item: Item) => boolean): Item | undefined {
        const index = this.#waiters.findIndex(waiter => canServe(waiter.item));
        return index < 0 ? undefined : this.#waiters.splice(index, 1)[0]?.item;
    }

    /** Removes and returns the entries whose maximum wait has passed. */
    expired(now: number): readonly Item[] {
        const expired = this.#waiters.filter(waiter => waiter.giveUpAt <= now);
        for (const waiter of expired) {
            this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
        }
        return expired.map(waiter => waiter.item);
    }

    /** Time at which the next entry expires; undefined when the queue is empty. */
    nextExpiry(): number | undefined {
        return this.#waiters.length === 0 ? undefined : Math.min(...this.#waiters.map(waiter => waiter.giveUpAt));
    }

    /** Removes and returns all entries. */
    clear(): readonly Item[] {
        return this.#waiters.splice(0).map(waiter => waiter.item);
    }
}
