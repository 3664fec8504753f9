import type { ConsensusMessage, Members } from "@medlarledge/protocol";
import { ConsensusState } from "./consensus-state.js";
import {
    becomeFollower,
    countOwnVote,
    electionTick,
    handlePreVote,
    handlePreVoteReply,
    handleVote,
    handleVoteReply,
} from "./election.js";
import { caughtUpLearners } from "./membership.js";
import { propose, proposeMembers, settleCommitted } from "./proposal.js";
import {
    advanceCommit,
    broadcast,
    handleAppend,
    handleAppendReply,
    leaderTick,
    quorumContactAt,
    voterSilence,
} from "./replication.js";
import { handleSnapshotChunk, handleSnapshotReply, requestSnapshot, takenSnapshot } from "./snapshot.js";
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
};

const EVENT_HANDLERS: EventHandlers = {
    start: (state, event, now) => start(state, event.recovered, now),
    tick: (state, _, now) => state.role === "leader" ? leaderTick(state, now) : electionTick(state, now),
    message: (state, event, now) => receive(state, event.from, event.message, now),
    propose: (state, event, now) => propose(state, event.requestId, event.payload, now),
    proposeMembers: (state, event, now) => proposeMembers(state, event.requestId, event.members, now),
    persisted: (state, event, now) => persisted(state, event.batch, now),
    snapshotTaken: (state, event) => takenSnapshot(state, event.index, event.data),
};

/**
 * One member's part in the replicated log: it decides, and the caller executes the effects in their order. Times are
 * in milliseconds of a monotonic clock. An id that has voted must never be used with a state that forgot it.
 */
export class ConsensusMember {
    readonly #state: ConsensusState;

    constructor(options: ConsensusOptions) {
        this.#state = new ConsensusState(options);
    }

    /** Handles one event. `start` comes first, once; `tick` about every 10 ms. */
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

    /** Latest time of a message of this leader that a quorum has answered; -Infinity if this member does not lead. */
    quorumContactAt(now: number): number {
        return quorumContactAt(this.#state, now);
    }

    /** Learners that may be promoted now; empty if this member does not lead. */
    caughtUpLearners(now: number): readonly string[] {
        return this.#state.role === "leader" ? caughtUpLearners(this.#state, now) : [];
    }

    /** Time since each voter last answered, in ms; empty if this member does not lead. */
    voterSilence(now: number): ReadonlyMap<string, number> {
        return voterSilence(this.#state, now);
    }

    /** The latest members in the log, committed or not. */
    get members(): Members {
        return this.#state.log.members;
    }
}

function start(state: ConsensusState, recovered: RecoveredState, now: number): void {
    const { hardState, snapshot, entries } = recovered;
    state.recover(hardState, snapshot, entries);
    // The member may have heard from a leader just before it stopped, so it grants no vote for the election time.
    state.leaderContactAt = now;
    state.resetElectionDeadline(now);
    if (snapshot !== undefined && snapshot.lastIndex > 0) {
        state.emit({ kind: "restoreSnapshot", index: snapshot.lastIndex, data: snapshot.data });
    }
}

function receive(state: ConsensusState, from: string, message: ConsensusMessage, now: number): void {
    const handler = MESSAGE_HANDLERS[message.kind] as (
        state: ConsensusState,
        from: string,
        message: ConsensusMessage,
        now: number,
    ) => void;
    handler(state, from, message, now);
}

function persisted(state: ConsensusState, batch: number, now: number): void {
    state.persisted(batch);
    countOwnVote(state, now);
    advanceCommit(state);
}

/** Emits what is committed and durable here, and acts on it. */
function applyCommitted(state: ConsensusState, now: number): void {
    const upTo = Math.min(state.commitIndex, state.persistedIndex);
    if (upTo <= state.appliedIndex) {
        return;
    }
    const entries = state.log.slice(state.appliedIndex + 1, upTo);
    state.appliedIndex = upTo;
    state.emit({ kind: "commit", entries });
    settleCommitted(state, entries);
    requestSnapshot(state);
    if (state.role === "leader" && !state.isVoter && state.log.membersIndex <= upTo) {
        broadcast(state, now);
        becomeFollower(state, state.term, now);
    }
}
