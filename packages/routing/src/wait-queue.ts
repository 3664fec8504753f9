/** Something that waits for a connection. */
export interface Waiter<Item> {
    readonly item: Item;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly giveUpAt: number;
}

/** Those that wait for a connection: the most urgent first, then in the order of their arrival. */
export class WaitQueue<Item> {
    readonly #waiters: Waiter<Item>[] = [];

    get size(): number {
        return this.#waiters.length;
    }

    push(waiter: Waiter<Item>): void {
        const behind = this.#waiters.findIndex(other => other.priority > waiter.priority);
        this.#waiters.splice(behind < 0 ? this.#waiters.length : behind, 0, waiter);
    }

    /** How many would be served before one of this priority. */
    countAhead(priority: number): number {
        return this.#waiters.filter(waiter => waiter.priority <= priority).length;
    }

    /** The next one that has not given up. */
    shift(): Item | undefined {
        return this.#waiters.shift()?.item;
    }

    /** Takes out those whose time is over. */
    expired(now: number): readonly Item[] {
        const expired = this.#waiters.filter(waiter => waiter.giveUpAt <= now);
        for (const waiter of expired) {
            this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
        }
        return expired.map(waiter => waiter.item);
    }

    /** When the next one gives up. */
    nextExpiry(): number | undefined {
        return this.#waiters.length === 0 ? undefined : Math.min(...this.#waiters.map(waiter => waiter.giveUpAt));
    }

    clear(): readonly Item[] {
        return this.#waiters.splice(0).map(waiter => waiter.item);
    }
}
