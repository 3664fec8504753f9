import type { LogEntry, Members } from "@medlarledge/protocol";
import type { VoterSets } from "./quorum.js";
import type { Snapshot } from "./types.js";

const NO_MEMBERS: Members = { voters: [], learners: [] };

/** Members that are in force from the entry at `index` on. */
interface MembersAt {
    readonly index: number;
    readonly members: Members;
}

/** The part of the log that is in memory: the entries after `baseIndex`, and the membership changes among them. */
export class Log {
    #baseIndex = 0;
    #baseTerm = 0;
    #entries: LogEntry[] = [];
    #members: MembersAt[] = [{ index: 0, members: NO_MEMBERS }];

    /** Index of the last entry that is no longer in memory. */
    get baseIndex(): number {
        return this.#baseIndex;
    }

    get lastIndex(): number {
        return this.#baseIndex + this.#entries.length;
    }

    get lastTerm(): number {
        return this.#entries.at(-1)?.term ?? this.#baseTerm;
    }

    /** The latest members in the log, whether committed or not. */
    get members(): Members {
        return this.#members.at(-1)?.members ?? NO_MEMBERS;
    }

    /** Index of the entry that set the latest members. */
    get membersIndex(): number {
        return this.#members.at(-1)?.index ?? 0;
    }

    /** Term of the entry at an index; undefined if the entry is not in memory. */
    termAt(index: number): number | undefined {
        return index === this.#baseIndex ? this.#baseTerm : this.#entries[index - this.#baseIndex - 1]?.term;
    }

    /** The members as of the entry at an index. */
    membersAt(index: number): Members {
        return this.#members.findLast(at => at.index <= index)?.members ?? NO_MEMBERS;
    }

    /**
     * The latest voters, and those before them unless the change is known to be committed. A leader proposes members only
     * once the ones before are committed, so any later members in the log prove that.
     * @param commitIndex index of the last entry known to be committed
     */
    voterSets(commitIndex: number): VoterSets {
        const { voters } = this.members;
        const firstAt = this.#members.findLastIndex(at => !haveSameVoters(at.members, this.members)) + 1;
        const isProven = firstAt < this.#members.length - 1;
        const isCommitted = (this.#members[firstAt]?.index ?? 0) <= Math.max(commitIndex, this.#baseIndex);
        const previous = this.#members[firstAt - 1]?.members.voters;
        return isProven || isCommitted || previous === undefined ? [voters] : [previous, voters];
    }

    /** Entries from `from` to `to`, both included. */
    slice(from: number, to: number): readonly LogEntry[] {
        return this.#entries.slice(from - this.#baseIndex - 1, Math.max(0, to - this.#baseIndex));
    }

    /** Number of payload bytes of the entries from `from` to `to`, both included. */
    payloadBytes(from: number, to: number): number {
        return this.slice(from, to).reduce((sum, { payload }) => sum + payload.byteLength, 0);
    }

    /** Returns the entries from `from` on that fit into both limits, but at least one if there is one. */
    batch(from: number, maxEntries: number, maxBytes: number): readonly LogEntry[] {
        const entries = this.slice(from, from + maxEntries - 1);
        let bytes = 0;
        const end = entries.findIndex(({ payload }, index) => {
            bytes += payload.byteLength;
            return index > 0 && bytes > maxBytes;
        });
        return end === -1 ? entries : entries.slice(0, end);
    }

    append(entry: LogEntry): void {
        this.#entries.push(entry);
        if (entry.members !== undefined) {
            this.#members.push({ index: entry.index, members: entry.members });
        }
    }

    /** Removes the entries from `index` on. */
    truncateFrom(index: number): void {
        this.#entries.length = Math.max(0, index - this.#baseIndex - 1);
        this.#members = this.#members.filter(at => at.index < index);
    }

    /** Removes the entries up to and including `index`, which a snapshot covers. */
    compact(index: number): void {
        const term = this.termAt(index);
        if (term === undefined || index <= this.#baseIndex) {
            return;
        }
        const first = { index, members: this.membersAt(index) };
        this.#entries = this.#entries.slice(index - this.#baseIndex);
        this.#baseIndex = index;
        this.#baseTerm = term;
        // The latest members keep the index of their entry, which is compared with the commit index.
        const latest = this.#members.findLast(at => at.index <= index) ?? first;
        this.#members = [latest, ...this.#members.filter(at => at.index > index)];
    }

    /** Replaces the whole log with a snapshot. */
    reset(snapshot: Snapshot): void {
        this.#baseIndex = snapshot.lastIndex;
        this.#baseTerm = snapshot.lastTerm;
        this.#entries = [];
        this.#members = [{ index: snapshot.lastIndex, members: snapshot.members }];
    }
}

function haveSameVoters(one: Members, other: Members): boolean {
    return one.voters.length === other.voters.length && one.voters.every(id => other.voters.includes(id));
}
