import type { HostList } from "@medlarledge/protocol";

/** Number of links to control hosts, including the leader, that an entry host keeps while one of them is current. */
const CONTROL_LINKS = 3;

/**
 * Time without a confirmation after which an entry host looks for other control hosts. A current one confirms every 0.5 s,
 * and a change must be in force within 3 s.
 */
const CONFIRMATION_LIMIT_MS = 1_500;

/**
 * Interval of attempts to reach further control hosts and to get a newer list from other entry hosts. Attempts cost a
 * small host much of its processor, also those that fail because the control group has no leader.
 */
const SEARCH_INTERVAL_MS = 500;

/** Links beyond the wanted ones are closed when the configuration has been confirmed for this long without a break. */
const SURPLUS_LINK_MS = 10_000;

/** A process that was late by this much stood still. What it reads next may have waited for it all the while. */
const STALL_MS = 500;

/**
 * The control hosts that an entry host knows, and whether one of them still confirms that the configuration in force is
 * the newest. Decides which of them to keep links to.
 */
export class ControlContacts {
    readonly #random: () => number;
    #term = 0;
    #leader: string | undefined;
    /** The control hosts in an order of this host's own, so that not all entry hosts link to the same ones. */
    #control: readonly string[] = [];
    /** Index of the log entry from which they are known, and the term of the list that named them. */
    #index = Number.NEGATIVE_INFINITY;
    #controlTerm = 0;
    /** When a current control host last named the newest number, whether or not that was in force. */
    #heardAt = Number.NEGATIVE_INFINITY;
    #confirmedAt = Number.NEGATIVE_INFINITY;
    #confirmedSince: number | undefined;
    /** Until then the first control hosts may still be starting. */
    #searchFrom = Number.NEGATIVE_INFINITY;
    #searchedAt = Number.NEGATIVE_INFINITY;
    #tickedAt: number | undefined;
    #trustedFrom = Number.NEGATIVE_INFINITY;

    /** @param random returns numbers from 0 up to 1 */
    constructor(random: () => number) {
        this.#random = random;
    }

    /** Id of the leader of the control group; undefined while none has been known. */
    get leader(): string | undefined {
        return this.#leader;
    }

    /** Ids of the control hosts; none before the first list. */
    get hosts(): readonly string[] {
        return this.#control;
    }

    /** The highest consensus term of a list; 0 before the first. */
    get term(): number {
        return this.#term;
    }

    /**
     * Records a list of hosts. Returns true if the leader, its term or the control hosts are others than before. They are
     * judged apart: a member that is behind may know the present leader and still name former members.
     */
    listed(list: HostList, now: number): boolean {
        if (list.control.length === 0) {
            return false;
        }
        const hasNewLeader = this.#recordLeader(list);
        return this.#recordControl(list, now) || hasNewLeader;
    }

    #recordLeader({ term, leader = this.#leader }: HostList): boolean {
        if (term < this.#term || (term === this.#term && leader === this.#leader)) {
            return false;
        }
        this.#term = term;
        this.#leader = leader;
        return true;
    }

    /** Only the leader's own list names the entry hosts; within its term, each of its lists is newer than the one before. */
    #recordControl({ term, index, control, entries }: HostList, now: number): boolean {
        if (term < this.#controlTerm || (entries === undefined && index <= this.#index)) {
            return false;
        }
        const known = [...this.#control].sort();
        const listed = [...control].sort();
        this.#controlTerm = term;
        this.#index = index;
        if (listed.length === known.length && listed.every((id, position) => id === known[position])) {
            return false;
        }
        if (known.length === 0) {
            this.#searchFrom = now + CONFIRMATION_LIMIT_MS;
        }
        const rotation = Math.floor(this.#random() * listed.length);
        this.#control = [...listed.slice(rotation), ...listed.slice(0, rotation)];
        return true;
    }

    /** Records that a current control host named the highest number that this host has heard of. */
    heard(now: number): void {
        if (!this.#isLate(now) && now >= this.#trustedFrom) {
            this.#heardAt = now;
        }
    }

    /** Records that the configuration with the highest number that this host has heard of is in force. */
    newestInForce(): void {
        this.#confirmedAt = this.#heardAt;
    }

    /** Follows the time; to be called about every 50 ms. */
    tick(now: number): void {
        if (this.#isLate(now)) {
            this.#trustedFrom = now + STALL_MS;
        }
        this.#tickedAt = now;
        this.#confirmedSince = this.isConfirmed(now) ? this.#confirmedSince ?? now : undefined;
    }

    #isLate(now: number): boolean {
        return this.#tickedAt !== undefined && now - this.#tickedAt > STALL_MS;
    }

    /** Returns true while a current control host has recently confirmed that the newest configuration is in force. */
    isConfirmed(now: number): boolean {
        return now - this.#confirmedAt < CONFIRMATION_LIMIT_MS;
    }

    /** Returns true while this host may be behind, so that it looks for other control hosts than those that it knows. */
    isSearching(now: number): boolean {
        return this.#control.length > 0 && !this.isConfirmed(now) && now >= this.#searchFrom;
    }

    /**
     * Returns the ids of the control hosts to keep links to: the leader and some others, those with a link first. Before
     * the first list these are the seeds.
     * @param linked ids of hosts with an open link
     */
    wanted(linked: ReadonlySet<string>, seeds: readonly string[]): readonly string[] {
        if (this.#control.length === 0) {
            return seeds;
        }
        const leader = this.#control.filter(id => id === this.#leader);
        const ordered = new Set([...leader, ...this.#control.filter(id => linked.has(id)), ...this.#control]);
        return [...ordered].slice(0, CONTROL_LINKS);
    }

    /** Returns the ids of linked control hosts whose links are not needed, once they have not been for some time. */
    surplus(linked: ReadonlySet<string>, now: number): readonly string[] {
        if (now - (this.#confirmedSince ?? now) < SURPLUS_LINK_MS) {
            return [];
        }
        const wanted = this.wanted(linked, []);
        return [...linked].filter(id => !wanted.includes(id));
    }

    /** Returns true when a search has to go on with a further attempt, and records that. */
    mustSearch(now: number): boolean {
        const isDue = this.isSearching(now) && now - this.#searchedAt >= SEARCH_INTERVAL_MS;
        if (isDue) {
            this.#searchedAt = now;
        }
        return isDue;
    }

    /**
     * Returns the ids of hosts to try during a search: all known control hosts and the seeds, since the control hosts may
     * have been replaced while this host was frozen or cut off.
     */
    searched(linked: ReadonlySet<string>, seeds: readonly string[]): readonly string[] {
        return [...new Set([...this.#control, ...seeds])].filter(id => !linked.has(id));
    }

    /**
     * Returns the list to send to another entry host; undefined while nothing is confirmed. The entry hosts are left out,
     * as only the leader knows all of them.
     */
    listToForward(now: number): HostList | undefined {
        if (!this.isConfirmed(now)) {
            return undefined;
        }
        const control = [...this.#control].sort();
        return {
            kind: "hostList",
            term: this.#controlTerm,
            index: this.#index,
            leader: this.#leader,
            control,
            entries: undefined,
        };
    }
}
