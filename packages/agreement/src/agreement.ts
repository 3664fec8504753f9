import type { AgreementMessage, Members } from "@medlarledge/protocol";
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
import { AgreementState } from "./state.js";
import type { AgreementEffect, AgreementEvent, AgreementOptions, RecoveredState } from "./types.js";

type EventOf<K extends AgreementEvent["kind"]> = Extract<AgreementEvent, { kind: K; }>;
type MessageOf<K extends AgreementMessage["kind"]> = Extract<AgreementMessage, { kind: K; }>;

type EventHandlers = {
    readonly [K in AgreementEvent["kind"]]: (state: AgreementState, event: EventOf<K>, now: number) => void;
};
type MessageHandlers = {
    readonly [K in AgreementMessage["kind"]]: (
        state: AgreementState,
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
export class Agreement {
    readonly #state: AgreementState;

    constructor(options: AgreementOptions) {
        this.#state = new AgreementState(options);
    }

    /** Handles one event. `start` comes first, once; `tick` about every 10 ms. */
    handle(event: AgreementEvent, now: number): readonly AgreementEffect[] {
        const handler = EVENT_HANDLERS[event.kind] as (
            state: AgreementState,
            event: AgreementEvent,
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

function start(state: AgreementState, recovered: RecoveredState, now: number): void {
    const { hardState, snapshot, entries } = recovered;
    state.recover(hardState, snapshot, entries);
    // The member may have heard from a leader just before it stopped, so it grants no vote for the election time.
    state.leaderContactAt = now;
    state.resetElectionDeadline(now);
    if (snapshot !== undefined && snapshot.lastIndex > 0) {
        state.emit({ kind: "restoreSnapshot", index: snapshot.lastIndex, data: snapshot.data });
    }
}

function receive(state: AgreementState, from: string, message: AgreementMessage, now: number): void {
    const handler = MESSAGE_HANDLERS[message.kind] as (
        state: AgreementState,
        from: string,
        message: AgreementMessage,
        now: number,
    ) => void;
    handler(state, from, message, now);
}

function persisted(state: AgreementState, batch: number, now: number): void {
    state.persisted(batch);
    countOwnVote(state, now);
    advanceCommit(state);
}

/** Emits what is committed and durable here, and acts on it. */
function applyCommitted(state: AgreementState, now: number): void {
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
