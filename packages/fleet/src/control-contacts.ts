import type { HostList } from "@medlarledge/protocol";

/** Number of links to control hosts, including the leader, that an entry host keeps while one of them is current. */
const CONTROL_LINKS = 3;

/**
 * Time without a confirmation after which an entry host counts as possibly behind. One confirmation may be lost or late,
 * and of the 3 s within which a change must be in force everywhere, half is left to find another control host.
 */
const CONFIRMATION_LIMIT_MS = 1_500;

/** Interval of requests for a newer list of hosts to other entry hosts. */
const LIST_REQUEST_INTERVAL_MS = 500;

/**
 * The control hosts that an entry host knows, and whether one of them still confirms what it has. Decides which of them
 * to keep links to.
 */
export class ControlContacts {
    readonly #random: () => number;
    #list: HostList | undefined;
    #leader: string | undefined;
    /** The control hosts of the list in an order of this host's own, so that not all hosts link to the same ones. */
    #rotated: readonly string[] = [];
    #confirmedAt = Number.NEGATIVE_INFINITY;
    #listRequestedAt = Number.NEGATIVE_INFINITY;

    /** @param random returns numbers from 0 up to 1 */
    constructor(random: () => number) {
        this.#random = random;
    }

    /** Id of the leader of the control group; undefined while none has been known. */
    get leader(): string | undefined {
        return this.#leader;
    }

    /** Consensus term of the newest list; 0 before the first. */
    get term(): number {
        return this.#list?.term ?? 0;
    }

    /**
     * Records a list of hosts. Returns false, without recording it, if it names no control host or a newer list is known:
     * a member that is behind may be in the same term as the leader. The first list counts as a confirmation, so that
     * hosts that start together do not all link to every control host.
     */
    listed(list: HostList, now: number): boolean {
        if (list.control.length === 0 || (this.#list !== undefined && !isNewer(list, this.#list))) {
            return false;
        }
        if (this.#list === undefined) {
            this.#confirmedAt = now;
        }
        this.#list = list;
        this.#leader = list.leader ?? this.#leader;
        const known = [...list.control].sort();
        const rotation = Math.floor(this.#random() * known.length);
        this.#rotated = [...known.slice(rotation), ...known.slice(0, rotation)];
        return true;
    }

    /** Records that a control host which is current told this host the number of its configuration. */
    confirmed(now: number): void {
        this.#confirmedAt = now;
    }

    /** Returns true while this host has recently heard from a control host that is current. */
    isConfirmed(now: number): boolean {
        return this.unconfirmedMs(now) < CONFIRMATION_LIMIT_MS;
    }

    /** Time since the last confirmation, in ms; infinite before the first. */
    unconfirmedMs(now: number): number {
        return now - this.#confirmedAt;
    }

    /**
     * Returns the ids of the control hosts to keep links to: the leader and some others, those with a link first. While
     * no linked one is current, these are all that are known and the seeds, since the control hosts may have been
     * replaced while this host was frozen or cut off.
     * @param linked ids of hosts with an open link
     */
    wanted(linked: ReadonlySet<string>, seeds: readonly string[], now: number): readonly string[] {
        if (this.#list === undefined || !this.isConfirmed(now)) {
            return [...new Set([...this.#rotated, ...seeds])];
        }
        const leader = this.#rotated.filter(id => id === this.#leader);
        const ordered = new Set([...leader, ...this.#rotated.filter(id => linked.has(id)), ...this.#rotated]);
        return [...ordered].slice(0, CONTROL_LINKS);
    }

    /**
     * Returns true when other entry hosts should be asked for their list, and records the request: while this host has a
     * list, but none of its control hosts nor of the seeds confirms anything.
     */
    mustRequestList(now: number): boolean {
        const isDue = this.#list !== undefined && !this.isConfirmed(now)
            && now - this.#listRequestedAt >= LIST_REQUEST_INTERVAL_MS;
        if (isDue) {
            this.#listRequestedAt = now;
        }
        return isDue;
    }

    /**
     * Returns the list to send to another entry host; undefined while it is not confirmed. The entry hosts are left out,
     * as only the leader knows all of them.
     */
    listToForward(now: number): HostList | undefined {
        return this.isConfirmed(now) && this.#list !== undefined ? { ...this.#list, entries: undefined } : undefined;
    }
}

/** Only the leader's own list names the entry hosts; within its term, each of its lists is newer than the one before. */
function isNewer(list: HostList, known: HostList): boolean {
    if (list.entries !== undefined) {
        return list.term >= known.term;
    }
    return list.index > known.index || (list.index === known.index && list.term >= known.term);
}
