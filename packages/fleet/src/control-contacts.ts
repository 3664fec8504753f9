import type { HostList } from "@medlarledge/protocol";

/** Number of links to control hosts, including the leader, that an entry host keeps. */
const CONTROL_LINKS = 3;

/** The control hosts that an entry host knows. Decides which of them to keep links to. */
export class ControlContacts {
    readonly #random: () => number;
    #list: HostList | undefined;
    #leader: string | undefined;
    /** The control hosts of the list in an order of this host's own, so that not all hosts link to the same ones. */
    #rotated: readonly string[] = [];

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
     * a member that is behind may be in the same term as the leader.
     */
    listed(list: HostList): boolean {
        if (list.control.length === 0 || (this.#list !== undefined && !isNewer(list, this.#list))) {
            return false;
        }
        this.#list = list;
        this.#leader = list.leader ?? this.#leader;
        const known = [...list.control].sort();
        const rotation = Math.floor(this.#random() * known.length);
        this.#rotated = [...known.slice(rotation), ...known.slice(0, rotation)];
        return true;
    }

    /**
     * Returns the ids of the control hosts to keep links to: the leader and some others, those with a link first. Before
     * the first list these are the seeds.
     * @param linked ids of hosts with an open link
     */
    wanted(linked: ReadonlySet<string>, seeds: readonly string[]): readonly string[] {
        if (this.#list === undefined) {
            return seeds;
        }
        const leader = this.#rotated.filter(id => id === this.#leader);
        const ordered = new Set([...leader, ...this.#rotated.filter(id => linked.has(id)), ...this.#rotated]);
        return [...ordered].slice(0, CONTROL_LINKS);
    }
}

/** Only the leader's own list names the entry hosts; within its term, each of its lists is newer than the one before. */
function isNewer(list: HostList, known: HostList): boolean {
    if (list.entries !== undefined) {
        return list.term >= known.term;
    }
    return list.index > known.index || (list.index === known.index && list.term >= known.term);
}
