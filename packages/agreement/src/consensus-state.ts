import type { ConsensusMessage, LogEntry } from "@medlarledge/protocol";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Log } from "./log.js";
import { isQuorum, reachedByQuorum, type VoterSets } from "./quorum.js";
import type { ConsensusEffect, ConsensusOptions, HardState, Role, Snapshot } from "./types.js";

/** A snapshot that this leader is sending to a member; `offset` is the number of bytes that the member confirmed. */
export interface SnapshotTransfer {
    readonly snapshot: Snapshot;
    offset: number;
}

/** Replication progress of another member, as tracked by the leader. */
export interface Peer {
    /** When this leader was elected or added the member, whichever was later. */
    readonly addedAt: number;
    /** Index of the next entry to send. */
    next: number;
    /** Highest index known to be durable on the member. */
    match: number;
    /** Latest send time that the member has answered. */
    lastContactAt: number;
    /** When the last message was sent. */
    sentAt: number;
    /**
     * When the entries or the snapshot chunk were sent that the member has not answered yet, in ms; undefined if there
     * are none. Until then it only gets heartbeats; later entries wait for the reply and are sent in one batch.
     */
    unansweredSince: number | undefined;
    transfer: SnapshotTransfer | undefined;
}

/** An entry proposed on this member whose outcome is not known yet. */
export interface PendingProposal {
    readonly index: number;
    readonly term: number;
}

/** The chunks received so far of a snapshot that a leader is sending to this member. */
export interface IncomingSnapshot {
    readonly term: number;
    readonly lastIndex: number;
    readonly chunks: Uint8Array[];
    bytes: number;
}

/** A message that is sent once the batch is durable. */
interface QueuedMessage {
    readonly batch: number;
    readonly to: string;
    readonly message: ConsensusMessage;
}

/**
 * State of one member, shared by election, replication, proposals and snapshots. Collects the effects of an event;
 * messages passed to `sendDurable` are withheld until all earlier writes are durable.
 */
export class ConsensusState {
    readonly options: ConsensusOptions;
    readonly log = new Log();
    readonly peers = new Map<string, Peer>();
    /** Proposals with an open outcome by request id. */
    readonly pending = new Map<number, PendingProposal>();
    role: Role = "follower";
    leader: string | undefined;
    phase: "preVote" | "vote" = "preVote";
    votes = new Set<string>();
    /** Members whose files are lost, as their hosts said. */
    readonly lost = new Set<string>();
    /** Batch that holds this member's own vote in the current campaign. */
    ownVoteBatch = 0;
    campaignStartedAt = 0;
    leaderContactAt = 0;
    electionDeadline = 0;
    commitIndex = 0;
    /** Commit index of the leader as of its last append; infinite until the present leader has sent one. */
    leaderCommitIndex = Number.POSITIVE_INFINITY;
    appliedIndex = 0;
    /** The log up to here is durable on this member. */
    persistedIndex = 0;
    persistedBatch = 0;
    snapshot: Snapshot | undefined;
    snapshotRequested: number | undefined;
    incoming: IncomingSnapshot | undefined;
    #hardState: HardState = { term: 0, votedFor: undefined };
    #hardStateChanged = false;
    #truncateFrom: number | undefined;
    #newEntries: LogEntry[] = [];
    #lastBatch = 0;
    #unpersistedBatches: { batch: number; lastIndex: number; }[] = [];
    #awaitingPersist: QueuedMessage[] = [];
    #outgoing: Omit<QueuedMessage, "batch">[] = [];
    #effects: ConsensusEffect[] = [];
    #reportedRole = "";
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
     * True for a voter, and for a member whose removal from the voters is not known to be committed: it may be the only
     * one whose log is long enough to win an election.
     */
    get canCampaign(): boolean {
        return this.isVoter || this.log.membersAt(this.commitIndex).voters.includes(this.id);
    }

    /** The voters in force, and those before while the change is not known to be committed. */
    get voterSets(): VoterSets {
        return this.log.voterSets(this.commitIndex);
    }

    /** All voters whose votes and acknowledgements count. */
    get votingIds(): readonly string[] {
        return [...new Set(this.voterSets.flat())];
    }

    isQuorum(has: (id: string) => boolean): boolean {
        return isQuorum(this.voterSets, this.lost, has);
    }

    /** The highest value that the members of a quorum have all reached; -Infinity if there is none. */
    reachedByQuorum(valueOf: (id: string) => number): number {
        return reachedByQuorum(this.voterSets, this.lost, valueOf);
    }

    get nextBatch(): number {
        return this.#lastBatch + 1;
    }

    /** Restores the state that the store read at the start. */
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
        this.#newEntries.push(entry);
    }

    /** Removes entries that conflict with the leader's log, in memory and on disk; at most once per event. */
    truncateFrom(index: number): void {
        this.log.truncateFrom(index);
        this.#truncateFrom = index;
        this.lowerPersistedIndex(index - 1);
    }

    /** Stops counting the entries after `index` as durable, also those of batches that are still being written. */
    lowerPersistedIndex(index: number): void {
        this.persistedIndex = Math.min(this.persistedIndex, index);
        this.#unpersistedBatches.forEach(batch => batch.lastIndex = Math.min(batch.lastIndex, index));
    }

    /** Adds an effect to those of the current event. */
    emit(effect: ConsensusEffect): void {
        this.#effects.push(effect);
    }

    /** Sends at once, for messages that stay valid even if the latest writes of this member are lost. */
    send(to: string, message: ConsensusMessage): void {
        this.emit({ kind: "send", to, message });
    }

    /** Sends once all writes issued up to the end of the current event are durable. */
    sendDurable(to: string, message: ConsensusMessage): void {
        this.#outgoing.push({ to, message });
    }

    saveSnapshot(snapshot: Snapshot): void {
        this.#flushBatch();
        this.emit({ kind: "saveSnapshot", batch: this.#issueBatch(), snapshot });
    }

    /** Marks a batch and all earlier ones as durable and sends the messages that waited for them. */
    persisted(batch: number): void {
        this.persistedBatch = Math.max(this.persistedBatch, batch);
        const done = this.#unpersistedBatches.filter(item => item.batch <= batch);
        this.#unpersistedBatches = this.#unpersistedBatches.filter(item => item.batch > batch);
        this.persistedIndex = Math.max(this.persistedIndex, ...done.map(item => item.lastIndex));
        const released = this.#awaitingPersist.filter(item => item.batch <= batch);
        this.#awaitingPersist = this.#awaitingPersist.filter(item => item.batch > batch);
        released.forEach(item => this.send(item.to, item.message));
    }

    /** Writes out the pending batch and messages at the end of an event. Returns the effects of the event. */
    flush(): readonly ConsensusEffect[] {
        this.#flushBatch();
        this.#flushMessages();
        this.#reportRole();
        const effects = this.#effects;
        this.#effects = [];
        return effects;
    }

    #flushBatch(): void {
        if (!this.#hardStateChanged && this.#truncateFrom === undefined && this.#newEntries.length === 0) {
            return;
        }
        const hardState = this.#hardStateChanged ? { hardState: this.#hardState } : {};
        const truncateFrom = this.#truncateFrom === undefined ? {} : { truncateFrom: this.#truncateFrom };
        this.emit({
            kind: "persist",
            batch: this.#issueBatch(),
            ...hardState,
            ...truncateFrom,
            entries: this.#newEntries,
        });
        this.#hardStateChanged = false;
        this.#truncateFrom = undefined;
        this.#newEntries = [];
    }

    #issueBatch(): number {
        this.#lastBatch += 1;
        this.#unpersistedBatches.push({ batch: this.#lastBatch, lastIndex: this.log.lastIndex });
        return this.#lastBatch;
    }

    #flushMessages(): void {
        const batch = this.#lastBatch;
        for (const { to, message } of this.#outgoing) {
            if (batch <= this.persistedBatch) {
                this.send(to, message);
            }
            else {
                this.#awaitingPersist.push({ batch, to, message });
            }
        }
        this.#outgoing = [];
    }

    #reportRole(): void {
        const { role, term, leader } = this;
        const current = `${role} ${term} ${leader ?? ""}`;
        if (current !== this.#reportedRole) {
            this.#reportedRole = current;
            this.emit({ kind: "role", role, term, leader });
        }
    }
}
