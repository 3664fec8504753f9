import type { ConsensusMessage, LogEntry } from "@medlarledge/protocol";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Log } from "./log.js";
import type { ConsensusEffect, ConsensusOptions, HardState, Role, Snapshot } from "./types.js";

/** A snapshot on its way to a member; `offset` is what the member has confirmed. */
export interface Transfer {
    readonly snapshot: Snapshot;
    offset: number;
}

/** What the leader knows of another member. */
export interface Peer {
    next: number;
    match: number;
    /** Latest send time that the member has answered. */
    contact: number;
    sentAt: number;
    /** An append with entries is not answered yet; further entries wait for the answer and go in one batch. */
    waiting: boolean;
    transfer: Transfer | undefined;
}

/** An entry proposed here whose outcome is open. */
export interface Pending {
    readonly index: number;
    readonly term: number;
}

/** A snapshot that a leader is sending to this member. */
export interface Incoming {
    readonly term: number;
    readonly lastIndex: number;
    readonly pieces: Uint8Array[];
    bytes: number;
}

interface Held {
    readonly batch: number;
    readonly to: string;
    readonly message: ConsensusMessage;
}

/** State that the parts of the agreement share, with the rule that nothing leaves before it is durable. */
export class ConsensusState {
    readonly options: ConsensusOptions;
    readonly log = new Log();
    readonly peers = new Map<string, Peer>();
    /** By request id. */
    readonly pending = new Map<number, Pending>();
    role: Role = "follower";
    leader: string | undefined;
    phase: "preVote" | "vote" = "preVote";
    votes = new Set<string>();
    campaignBatch = 0;
    campaignAt = 0;
    leaderContactAt = 0;
    /** When this member last began to lead. */
    electedAt = 0;
    electionDeadline = 0;
    commitIndex = 0;
    appliedIndex = 0;
    /** The log up to here is durable on this member. */
    persistedIndex = 0;
    persistedBatch = 0;
    snapshot: Snapshot | undefined;
    snapshotRequested: number | undefined;
    incoming: Incoming | undefined;
    #hardState: HardState = { term: 0, votedFor: undefined };
    #hardStateChanged = false;
    #truncateFrom: number | undefined;
    #added: LogEntry[] = [];
    #issuedBatch = 0;
    #unsynced: { batch: number; lastIndex: number; }[] = [];
    #held: Held[] = [];
    #leaving: Omit<Held, "batch">[] = [];
    #effects: ConsensusEffect[] = [];
    #reported = "";
    readonly #random;

    constructor(options: ConsensusOptions) {
        this.options = options;
        this.#random = xoroshiro128plus(options.seed);
    }

    get id(): string {
        return this.options.id;
    }

    get term(): number {
        return this.#hardState.term;
    }

    get votedFor(): string | undefined {
        return this.#hardState.votedFor;
    }

    get isVoter(): boolean {
        return this.log.members.voters.includes(this.id);
    }

    /**
     * Voters start elections, and so does a member whose removal is not known to be committed: it may be the only one
     * whose log is long enough to win.
     */
    get mayCampaign(): boolean {
        return this.isVoter || this.log.membersAt(this.commitIndex).voters.includes(this.id);
    }

    get quorum(): number {
        return Math.floor(this.log.members.voters.length / 2) + 1;
    }

    get nextBatch(): number {
        return this.#issuedBatch + 1;
    }

    recover(hardState: HardState, snapshot: Snapshot | undefined, entries: readonly LogEntry[]): void {
        this.#hardState = hardState;
        this.snapshot = snapshot;
        if (snapshot !== undefined) {
            this.log.reset(snapshot);
        }
        entries.forEach(entry => this.log.append(entry));
        this.commitIndex = this.log.baseIndex;
        this.appliedIndex = this.log.baseIndex;
        this.persistedIndex = this.log.lastIndex;
    }

    setHardState(hardState: HardState): void {
        this.#hardState = hardState;
        this.#hardStateChanged = true;
    }

    resetElectionDeadline(now: number): void {
        const { electionMs } = this.options;
        this.electionDeadline = now + uniformInt(this.#random, electionMs, 2 * electionMs - 1);
    }

    append(entry: LogEntry): void {
        this.log.append(entry);
        this.#added.push(entry);
    }

    /** Removes entries that conflict with the leader's, in memory and on disk; at most once for one event. */
    truncateFrom(index: number): void {
        this.log.truncateFrom(index);
        this.#truncateFrom = index;
        this.forgetPersistedAfter(index - 1);
    }

    forgetPersistedAfter(index: number): void {
        this.persistedIndex = Math.min(this.persistedIndex, index);
        this.#unsynced.forEach(batch => batch.lastIndex = Math.min(batch.lastIndex, index));
    }

    emit(effect: ConsensusEffect): void {
        this.#effects.push(effect);
    }

    /** Sends at once: for messages that hold true whether or not this member's last writes survive. */
    send(to: string, message: ConsensusMessage): void {
        this.emit({ kind: "send", to, message });
    }

    /** Sends once everything decided so far is durable. */
    sendDurable(to: string, message: ConsensusMessage): void {
        this.#leaving.push({ to, message });
    }

    saveSnapshot(snapshot: Snapshot): void {
        this.#flushBatch();
        this.emit({ kind: "saveSnapshot", batch: this.#issueBatch(), snapshot });
    }

    /** Marks a batch and all earlier ones durable and releases the messages that waited for them. */
    persisted(batch: number): void {
        this.persistedBatch = Math.max(this.persistedBatch, batch);
        const done = this.#unsynced.filter(item => item.batch <= batch);
        this.#unsynced = this.#unsynced.filter(item => item.batch > batch);
        this.persistedIndex = Math.max(this.persistedIndex, ...done.map(item => item.lastIndex));
        const released = this.#held.filter(item => item.batch <= batch);
        this.#held = this.#held.filter(item => item.batch > batch);
        released.forEach(item => this.send(item.to, item.message));
    }

    /** Ends the handling of one event. */
    flush(): readonly ConsensusEffect[] {
        this.#flushBatch();
        this.#flushMessages();
        this.#reportRole();
        const effects = this.#effects;
        this.#effects = [];
        return effects;
    }

    #flushBatch(): void {
        if (!this.#hardStateChanged && this.#truncateFrom === undefined && this.#added.length === 0) {
            return;
        }
        const hardState = this.#hardStateChanged ? { hardState: this.#hardState } : {};
        const truncateFrom = this.#truncateFrom === undefined ? {} : { truncateFrom: this.#truncateFrom };
        this.emit({
            kind: "persist",
            batch: this.#issueBatch(),
            ...hardState,
            ...truncateFrom,
            entries: this.#added,
        });
        this.#hardStateChanged = false;
        this.#truncateFrom = undefined;
        this.#added = [];
    }

    #issueBatch(): number {
        this.#issuedBatch += 1;
        this.#unsynced.push({ batch: this.#issuedBatch, lastIndex: this.log.lastIndex });
        return this.#issuedBatch;
    }

    #flushMessages(): void {
        const batch = this.#issuedBatch;
        for (const { to, message } of this.#leaving) {
            if (batch <= this.persistedBatch) {
                this.send(to, message);
            }
            else {
                this.#held.push({ batch, to, message });
            }
        }
        this.#leaving = [];
    }

    #reportRole(): void {
        const { role, term, leader } = this;
        const current = `${role} ${term} ${leader ?? ""}`;
        if (current !== this.#reported) {
            this.#reported = current;
            this.emit({ kind: "role", role, term, leader });
        }
    }
}
