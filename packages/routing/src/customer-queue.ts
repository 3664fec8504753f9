/** Every n-th order of a customer is its oldest one, so that a stream of urgent orders cannot starve its ordinary ones. */
const OLDEST_EVERY = 8;

/** What an order is entitled to. */
export interface Claim {
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Customer whose share the order uses; undefined for an order without one. */
    readonly customer?: string | undefined;
    /** Share of the customer relative to others; 1 when undefined. */
    readonly weight?: number | undefined;
    /** Time until which its caller wants the answer; undefined when none is stated. */
    readonly dueAt?: number | undefined;
    /** Expected time that the endpoint works on it, in ms. */
    readonly workMs?: number | undefined;
}

/** An order in the queue, with its rank by arrival. */
export interface Entry<Waiter> {
    readonly waiter: Waiter;
    readonly sequence: number;
}

/** An entry that may be served next. */
export interface NextEntry<Waiter> {
    readonly entry: Entry<Waiter>;
    /** Whether it cannot end by its target any more. */
    readonly isLate: boolean;
    /** Priority of the customer's most urgent order that can be served. */
    readonly priority: number;
}

/** The waiting orders of one customer, by priority and arrival, and the customer's use of its share. */
export class CustomerQueue<Waiter extends Claim> {
    readonly #entries: Entry<Waiter>[] = [];
    #startMs: number;
    #weight = 1;
    #servedCount = 0;

    constructor(startMs: number) {
        this.#startMs = startMs;
    }

    get size(): number {
        return this.#entries.length;
    }

    /** Share relative to other customers. */
    get weight(): number {
        return this.#weight;
    }

    /** Start tag of the next order: the work of the customer so far, divided by its weight, in ms of virtual time. */
    get startMs(): number {
        return this.#startMs;
    }

    entries(): readonly Entry<Waiter>[] {
        return this.#entries;
    }

    push(waiter: Waiter, sequence: number, virtualMs: number): void {
        if (this.#entries.length === 0) {
            this.#startMs = Math.max(this.#startMs, virtualMs);
        }
        this.#weight = waiter.weight ?? 1;
        const behind = this.#entries.findIndex(other => other.waiter.priority > waiter.priority);
        this.#entries.splice(behind < 0 ? this.#entries.length : behind, 0, { waiter, sequence });
    }

    countAhead(priority: number): number {
        return this.#entries.filter(({ waiter }) => waiter.priority <= priority).length;
    }

    /** The customer's next order that can be served; undefined when there is none. */
    next(canServe: (waiter: Waiter) => boolean, now: number): NextEntry<Waiter> | undefined {
        let firstLate: Entry<Waiter> | undefined;
        let first: Entry<Waiter> | undefined;
        let oldest: Entry<Waiter> | undefined;
        const isOldestNext = this.#entries[0]?.waiter.customer !== undefined
            && this.#servedCount % OLDEST_EVERY === OLDEST_EVERY - 1;
        for (const entry of this.#entries) {
            if ((first !== undefined && !isOldestNext) || !canServe(entry.waiter)) {
                continue;
            }
            if (isLate(entry.waiter, now)) {
                firstLate ??= entry;
                continue;
            }
            first ??= entry;
            oldest = oldest === undefined || entry.sequence < oldest.sequence ? entry : oldest;
        }
        const chosen = (isOldestNext ? oldest : first) ?? firstLate;
        const mostUrgent = first ?? firstLate;
        return chosen === undefined || mostUrgent === undefined
            ? undefined
            : { entry: chosen, isLate: first === undefined, priority: mostUrgent.waiter.priority };
    }

    /** Removes an entry and charges its expected work to the customer. */
    serve(entry: Entry<Waiter>): void {
        this.#entries.splice(this.#entries.indexOf(entry), 1);
        this.#servedCount += 1;
        this.#startMs += (entry.waiter.workMs ?? 1) / this.#weight;
    }

    removeWhere(matches: (waiter: Waiter) => boolean): readonly Waiter[] {
        const removed = this.#entries.filter(({ waiter }) => matches(waiter));
        for (const entry of removed) {
            this.#entries.splice(this.#entries.indexOf(entry), 1);
        }
        return removed.map(({ waiter }) => waiter);
    }
}

function isLate({ dueAt, workMs }: Claim, now: number): boolean {
    return dueAt !== undefined && now + (workMs ?? 0) > dueAt;
}
