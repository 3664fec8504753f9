import type { LogEntry } from "@medlarledge/protocol";
import { crc32 } from "node:zlib";
import type { ProposalOutcome, Snapshot } from "../src/index.js";

/** Returns the digest of a state machine after it applied one more entry. */
export function digestAfter(digest: number, entry: LogEntry): number {
    return crc32(entry.payload, crc32(`${entry.index}/${entry.term}/${membersText(entry)}`, digest));
}

function membersText(entry: LogEntry): string {
    return entry.members === undefined ? "" : [...entry.members.voters, "/", ...entry.members.learners].join();
}

/** The log of a member: its snapshot and the entries after it. */
export interface LogView {
    readonly snapshot: Snapshot | undefined;
    readonly entries: readonly LogEntry[];
}

/** Checks the safety properties of Raft over the history of a group. Throws on the first violation. */
export class Checker {
    readonly #leaders = new Map<number, string>();
    readonly #committed: { term: number; digest: number; text: string; }[] = [];
    readonly #applied = new Map<string, number>();
    readonly #written = new Map<string, string>();
    readonly #outcomes = new Map<string, ProposalOutcome>();

    get committedCount(): number {
        return this.#committed.length;
    }

    appliedBy(id: string): number {
        return this.#applied.get(id) ?? 0;
    }

    /** Records the start or restart of a member, which has applied no entry yet. */
    started(id: string): void {
        this.#applied.set(id, 0);
    }

    /** Records that a member became the leader. Its log must hold every committed entry, its term no other leader. */
    leads(id: string, term: number, log: LogView): void {
        const other = this.#leaders.get(term);
        check(other === undefined || other === id, `${id} and ${String(other)} lead in term ${term}`);
        this.#leaders.set(term, id);
        const base = log.snapshot?.lastIndex ?? 0;
        this.#committed.forEach(({ term: committedTerm }, position) => {
            const index = position + 1;
            const present = index <= base || log.entries[index - base - 1]?.term === committedTerm;
            check(present, `leader ${id} of term ${term} lacks committed entry ${index}`);
        });
    }

    /** Records that a member emitted an entry as committed. */
    commits(id: string, entry: LogEntry): void {
        check(entry.index === this.appliedBy(id) + 1, `${id} commits ${entry.index} after ${this.appliedBy(id)}`);
        this.#applied.set(id, entry.index);
        const digest = digestAfter(this.#committed[entry.index - 2]?.digest ?? 0, entry);
        const known = this.#committed[entry.index - 1];
        check(known === undefined || known.digest === digest, `${id} commits another entry at ${entry.index}`);
        this.#committed[entry.index - 1] = { term: entry.term, digest, text: entry.payload.toString() };
    }

    /** Records that a member replaced its state with a snapshot. */
    restores(id: string, index: number, digest: number): void {
        check(index > this.appliedBy(id), `${id} goes back from ${this.appliedBy(id)} to ${index}`);
        check(this.#committed[index - 1]?.digest === digest, `${id} restores another state at ${index}`);
        this.#applied.set(id, index);
    }

    /** Records an entry written after one of `previousTerm`. Logs with equal index and term must be equal before it. */
    writes(entry: LogEntry, previousTerm: number): void {
        const key = `${entry.index}/${entry.term}`;
        const value = `${previousTerm}/${entry.payload.toString()}/${membersText(entry)}`;
        const known = this.#written.get(key) ?? value;
        check(known === value, `two entries at ${key}: ${known} and ${value}`);
        this.#written.set(key, value);
    }

    /** Records the outcome of a proposal with a unique payload. */
    proposed(payload: string, outcome: ProposalOutcome): void {
        check(!this.#outcomes.has(payload), `two outcomes of proposal ${payload}`);
        this.#outcomes.set(payload, outcome);
    }

    /** Compares the outcomes of the proposals with the committed entries. */
    finish(): void {
        const counts = new Map<string, number>();
        this.#committed.forEach(({ text }) => counts.set(text, (counts.get(text) ?? 0) + 1));
        for (const [payload, outcome] of this.#outcomes) {
            const count = counts.get(payload) ?? 0;
            check(count <= 1, `proposal ${payload} is committed ${count} times`);
            check(outcome !== "committed" || count === 1, `committed proposal ${payload} is gone`);
            const isOpen = outcome === "committed" || outcome === "unknown";
            check(isOpen || count === 0, `${outcome} proposal ${payload} is committed`);
        }
    }
}

function check(holds: boolean, message: string): void {
    if (!holds) {
        throw new Error(message);
    }
}
