import type { ConsensusMessage, Members } from "@medlarledge/protocol";
import { ConsensusState } from "./consensus-state.js";
import {
    becomeFollower,
    countOwnVote,
    electionTick,
    handleMemberLost,
    handlePreVote,
    handlePreVoteReply,
    handleVote,
    handleVoteReply,
} from "./election.js";
import { caughtUpLearners, suspectedVoters } from "./membership.js";
import { propose, proposeMembers, reportCommittedProposals } from "./proposal.js";
import {
    advanceCommit,
    broadcast,
    handleAppend,
    handleAppendReply,
    leaderTick,
    memberSilence,
    quorumContactAt,
} from "./replication.js";
import { handleSnapshotChunk, handleSnapshotReply, handleSnapshotTaken, requestSnapshot } from "./snapshot.js";
import type { ConsensusEffect, ConsensusEvent, ConsensusOptions, RecoveredState } from "./types.js";

type EventOf<K extends ConsensusEvent["kind"]> = Extract<ConsensusEvent, { kind: K; }>;
type MessageOf<K extends ConsensusMessage["kind"]> = Extract<ConsensusMessage, { kind: K; }>;

type EventHandlers = {
    readonly [K in ConsensusEvent["kind"]]: (state: ConsensusState, event: EventOf<K>, now: number) => void;
};
type MessageHandlers = {
    readonly [K in ConsensusMessage["kind"]]: (
        state: ConsensusState,
        from: string,
        message: MessageOf<K>,
        now: number,
    ) => void;
};

const MESSAGE_HANDLERS: MessageHandlers = {
    preVote: handlePreVote,
    preVoteReply: handlePreVoteReply,
    vote: handleVote,
    voteReply: handleVoteReply,
    append: handleAppend,
    appendReply: handleAppendReply,
    snapshotChunk: handleSnapshotChunk,
    snapshotReply: handleSnapshotReply,
    memberLost: handleMemberLost,
};

const EVENT_HANDLERS: EventHandlers = {
    start: (state, event, now) => start(state, event.recovered, now),
    tick: (state, _, now) => state.role === "leader" ? leaderTick(state, now) : electionTick(state, now),
    message: (state, event, now) => handleMessage(state, event.from, event.message, now),
    propose: (state, event, now) => propose(state, event.requestId, event.payload, now),
    proposeMembers: (state, event, now) => proposeMembers(state, event.requestId, event.members, now),
    persisted: (state, event, now) => handlePersisted(state, event.batch, now),
    snapshotTaken: (state, event) => handleSnapshotTaken(state, event.index, event.data),
};

/**
 * One member of a Raft consensus group, as a state machine without I/O: it turns events into effects, which the caller
 * executes in their order. Times are in milliseconds of a monotonic clock. A member id that has voted must never be
 * used with a state that lost the vote: the member could vote twice in one term.
 */
export class ConsensusMember {
    readonly #state: ConsensusState;

    constructor(options: ConsensusOptions) {
        this.#state = new ConsensusState(options);
    }

    /** Handles one event and returns its effects. `start` must come first, once; `tick` about every 10 ms. */
    handle(event: ConsensusEvent, now: number): readonly ConsensusEffect[] {
        const handler = EVENT_HANDLERS[event.kind] as (
            state: ConsensusState,
            event: ConsensusEvent,
            now: number,
        ) => void;
        handler(this.#state, event, now);
        applyCommitted(this.#state, now);
        return this.#state.flush();
    }

    /**
     * Latest send time such that a quorum has answered messages sent then or later, in ms; -Infinity if this member is
     * not the leader.
     */
    quorumContactAt(now: number): number {
        return quorumContactAt(this.#state, now);
    }

    /**
     * Time since this member last heard from a leader, or since its start, in ms. For the leader it is the time since a
     * quorum last answered it.
     */
    leaderSilence(now: number): number {
        const { role, leaderContactAt } = this.#state;
        return now - (role === "leader" ? quorumContactAt(this.#state, now) : leaderContactAt);
    }

    /** Learners that can be promoted to voters now; empty if this member is not the leader. */
    caughtUpLearners(now: number): readonly string[] {
        return this.#state.role === "leader" ? caughtUpLearners(this.#state, now) : [];
    }

    /** Voters that have not answered within the election timeout; empty if this member is not the leader. */
    suspectedVoters(now: number): readonly string[] {
        return this.#state.role === "leader" ? suspectedVoters(this.#state, now) : [];
    }

    /** Time since the last contact with each other member by its id, in ms; empty if this member is not the leader. */
    memberSilence(now: number): ReadonlyMap<string, number> {
        return memberSilence(this.#state, now);
    }

    /** Index of the last entry that this member knows to be committed. */
    get commitIndex(): number {
        return this.#state.commitIndex;
    }

    /** Index of the last entry passed on to the state machine; an entry that is not durable here is not applied. */
    get appliedIndex(): number {
        return this.#state.appliedIndex;
    }

    /** The latest members in the log, whether committed or not. */
    get members(): Members {
        return this.#state.log.members;
    }

    /** Index of the entry that set the latest members, or of the snapshot that holds them. */
    get membersIndex(): number {
        return this.#state.log.membersIndex;
    }

    /**
     * True if the log itself shows that the latest voters are committed, so that it is known after a restart as well; if
     * not, proposing the same members again adds that.
     */
    get areVotersProven(): boolean {
        return this.#state.log.voterSets(0).length === 1;
    }

    /**
     * True if this member has applied all that was committed when it last heard from the leader, or from a quorum if it
     * leads, at most an election timeout before `now`. What earlier leaders committed is known only once the leader has
     * committed an entry of its own term.
     */
    isCurrent(now: number): boolean {
        const { role, leader, leaderContactAt, leaderCommitIndex, log, term, options } = this.#state;
        const isLeader = role === "leader";
        const contactAt = isLeader ? this.quorumContactAt(now) : leaderContactAt;
        const committed = isLeader ? this.commitIndex : leaderCommitIndex;
        return leader !== undefined && now - contactAt <= options.electionMs && this.appliedIndex >= committed
            && log.termAt(committed) === term;
    }
}

function start(state: ConsensusState, recovered: RecoveredState, now: number): void {
    const { hardState, snapshot, entries } = recovered;
    state.recover(hardState, snapshot, entries);
    // A leader may have contacted this member just before it stopped, so it grants no vote for one election timeout.
    state.leaderContactAt = now;
    state.resetElectionDeadline(now);
    if (snapshot !== undefined && snapshot.lastIndex > 0) {
        state.emit({ kind: "restoreSnapshot", index: snapshot.lastIndex, data: snapshot.data });
    }
}

function handleMessage(state: ConsensusState, from: string, message: ConsensusMessage, now: number): void {
    const handler = MESSAGE_HANDLERS[message.kind] as (
        state: ConsensusState,
        from: string,
        message: ConsensusMessage,
        now: number,
    ) => void;
    handler(state, from, message, now);
}

function handlePersisted(state: ConsensusState, batch: number, now: number): void {
    state.persisted(batch);
    countOwnVote(state, now);
    advanceCommit(state);
}

/**
 * Emits the entries that are committed and durable on this member, reports their proposals and requests a snapshot when
 * one is due. A leader that these entries removed from the voters steps down.
 */
function applyCommitted(state: ConsensusState, now: number): void {
    const upTo = Math.min(state.commitIndex, state.persistedIndex);
    if (upTo <= state.appliedIndex) {
        return;
    }
    const entries = state.log.slice(state.appliedIndex + 1, upTo);
    state.appliedIndex = upTo;
    state.emit({ kind: "commit", entries });
    reportCommittedProposals(state, entries);
    requestSnapshot(state);
    if (state.role === "leader" && !state.isVoter && state.log.membersIndex <= upTo) {
        broadcast(state, now);
        becomeFollower(state, state.term, now);
    }
}
