import { type Claim, CustomerQueue } from "./customer-queue.js";

/**
 * Work by which a customer with one waiting order may run ahead of the others' share, in ms, so that its urgent orders
 * precede ordinary ones of others. It shrinks with the number of its waiting orders: a long backlog means that the
 * customer asks for more than its share.
 */
const URGENCY_LEAD_MS = 300;

/** An entry that waits for a connection. */
export interface Waiter<Item> extends Claim {
    readonly item: Item;
    readonly giveUpAt: number;
}

/** Share of a customer without a stated one. */
const DEFAULT_WEIGHT = 1;

/**
 * Queue for connections. Customers share the service by weight (start-time fair queueing on expected work); a part that
 * is not used goes to the others. Among the customers within their share the most urgent order is next, and orders that
 * can still meet their target precede those that are late. Orders without a customer share one queue, which is served by
 * priority and arrival.
 */
export class WaitQueue<Item> {
    readonly #queues = new Map<string | undefined, CustomerQueue<Waiter<Item>>>();
    /** Virtual time: the smallest start tag among the waiting customers at the latest service. */
    #virtualMs = 0;
    #size = 0;
    #lastSequence = 0;

    get size(): number {
        return this.#size;
    }

    push(waiter: Waiter<Item>): void {
        let queue = this.#queues.get(waiter.customer);
        if (queue === undefined) {
            queue = new CustomerQueue(this.#virtualMs);
            this.#queues.set(waiter.customer, queue);
        }
        this.#lastSequence += 1;
        queue.push(waiter, this.#lastSequence, this.#virtualMs);
        this.#size += 1;
    }

    /** Number of entries that would be served before a new one with this claim. */
    countAhead(claim: Claim): number {
        const own = this.#queues.get(claim.customer)?.countAhead(claim.priority) ?? 0;
        let others = 0;
        for (const [customer, queue] of this.#queues) {
            if (customer !== claim.customer) {
                const share = Math.ceil((own + 1) * queue.weight / weightOf(claim));
                others += Math.min(queue.countAhead(claim.priority), share);
            }
        }
        return own + others;
    }

    /** Removes and returns the next entry; undefined when the queue is empty. */
    shift(now: number): Item | undefined {
        return this.take(() => true, now);
    }

    /** Removes and returns the first entry in the order of service that can be served; undefined when none can. */
    take(canServe: (item: Item) => boolean, now: number): Item | undefined {
        const candidates: Candidate<Item>[] = [];
        let leastStartMs = Infinity;
        for (const queue of this.#queues.values()) {
            const next = queue.next(waiter => canServe(waiter.item), now);
            if (next !== undefined) {
                candidates.push({ queue, ...next });
                leastStartMs = Math.min(leastStartMs, queue.startMs);
            }
        }
        const [first, ...others] = candidates.filter(({ queue }) =>
            queue.startMs <= leastStartMs + URGENCY_LEAD_MS / queue.size
        );
        if (first === undefined) {
            return undefined;
        }
        const { queue, entry } = others.reduce(
            (best, other) => compareCandidates(other, best) < 0 ? other : best,
            first,
        );
        this.#virtualMs = Math.max(this.#virtualMs, leastStartMs);
        queue.serve(entry);
        this.#size -= 1;
        this.#forgetServed();
        return entry.waiter.item;
    }

    /** Removes and returns the entries that match. */
    remove(matches: (item: Item) => boolean): readonly Item[] {
        return this.#removeWhere(waiter => matches(waiter.item));
    }

    /** Removes and returns the entries whose maximum wait has passed. */
    expired(now: number): readonly Item[] {
        return this.#removeWhere(waiter => waiter.giveUpAt <= now);
    }

    /** Time at which the next entry expires; undefined when the queue is empty. */
    nextExpiry(): number | undefined {
        let next: number | undefined;
        for (const queue of this.#queues.values()) {
            for (const { waiter } of queue.entries()) {
                next = Math.min(next ?? Infinity, waiter.giveUpAt);
            }
        }
        return next;
    }

    /** Removes and returns all entries. */
    clear(): readonly Item[] {
        return this.#removeWhere(() => true);
    }

    #removeWhere(matches: (waiter: Waiter<Item>) => boolean): readonly Item[] {
        const removed: Item[] = [];
        for (const queue of this.#queues.values()) {
            removed.push(...queue.removeWhere(matches).map(waiter => waiter.item));
        }
        this.#size -= removed.length;
        this.#forgetServed();
        return removed;
    }

    /** Forgets customers without orders whose use is not ahead of the others' any more. */
    #forgetServed(): void {
        for (const [customer, { size, startMs }] of this.#queues) {
            if (this.#size === 0 || (size === 0 && startMs <= this.#virtualMs)) {
                this.#queues.delete(customer);
            }
        }
    }
}

interface Candidate<Item> {
    readonly queue: CustomerQueue<Waiter<Item>>;
    readonly entry: { readonly waiter: Waiter<Item>; readonly sequence: number; };
    readonly isLate: boolean;
    readonly priority: number;
}

function compareCandidates<Item>(left: Candidate<Item>, right: Candidate<Item>): number {
    return Number(left.isLate) - Number(right.isLate)
        || left.priority - right.priority
        || dueAtOf(left) - dueAtOf(right)
        || left.entry.sequence - right.entry.sequence;
}

function dueAtOf<Item>({ entry: { waiter } }: Candidate<Item>): number {
    return waiter.dueAt ?? Number.MAX_VALUE;
}

function weightOf({ weight }: Claim): number {
    return weight ?? DEFAULT_WEIGHT;
}
