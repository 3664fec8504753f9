/** Lines that one kind may take in a second; lines of other kinds are not affected. */
export const LINES_PER_SECOND = 50;

/** Lines of all kinds in a second; one takes about 20 us, so this is below a hundredth of a small host's processor. */
const TOTAL_LINES_PER_SECOND = 150;

/** Kinds told apart; beyond, further kinds share one budget. Bounds the memory when fields make kinds numerous. */
const MAX_KINDS = 512;

const SECOND_MS = 1_000;

interface Spent {
    /** Start of the second that is counted. */
    since: number;
    lines: number;
    dropped: number;
}

/** What was left out of the log in one second. */
export interface Dropped {
    readonly kind: string;
    readonly lines: number;
}

/** Bounds the lines of each kind per second. The first line of a kind in a second is never left out. */
export class LineBudget {
    readonly #limit: number;
    readonly #total: number;
    readonly #spent = new Map<string, Spent>();
    #secondSince = Number.NEGATIVE_INFINITY;
    #lines = 0;

    constructor(limit = LINES_PER_SECOND, total = TOTAL_LINES_PER_SECOND) {
        this.#limit = limit;
        this.#total = total;
    }

    /** Takes one line of a kind from the budget. False: leave it out. */
    take(kind: string, now: number): boolean {
        const key = this.#spent.has(kind) || this.#spent.size < MAX_KINDS ? kind : "other";
        const spent = this.#spent.get(key) ?? { since: now, lines: 0, dropped: 0 };
        this.#spent.set(key, spent);
        if (now - spent.since >= SECOND_MS) {
            spent.since = now;
            spent.lines = 0;
        }
        const isTotalSpent = this.#countTotal(now) >= this.#total;
        if (spent.lines >= this.#limit || (isTotalSpent && spent.lines > 0)) {
            spent.dropped += 1;
            return false;
        }
        spent.lines += 1;
        this.#lines += 1;
        return true;
    }

    #countTotal(now: number): number {
        if (now - this.#secondSince >= SECOND_MS) {
            this.#secondSince = now;
            this.#lines = 0;
        }
        return this.#lines;
    }

    /** Takes the counts of lines that were left out since the last call. */
    takeDropped(): readonly Dropped[] {
        const dropped: Dropped[] = [];
        for (const [kind, spent] of this.#spent) {
            if (spent.dropped > 0) {
                dropped.push({ kind, lines: spent.dropped });
                spent.dropped = 0;
            }
        }
        return dropped;
    }
}
