import type { Append, AppendReply } from "@medlarledge/protocol";
import type { ConsensusState, Peer } from "./consensus-state.js";
import { becomeFollower } from "./election.js";
import { sendSnapshot } from "./snapshot.js";

const EMPTY = new Uint8Array();

/**
 * Makes this member the leader and appends an empty entry of its term: committing it also commits the entries of
 * earlier terms.
 */
export function startLeading(state: ConsensusState, now: number): void {
    const voted = new Set(state.votes);
    state.role = "leader";
    state.leader = state.id;
    state.peers.clear();
    updatePeers(state, now);
    for (const [id, peer] of state.peers) {
        // A granted vote answers a request that was sent at or after the start of the campaign.
        peer.lastContactAt = voted.has(id) ? state.campaignStartedAt : Number.NEGATIVE_INFINITY;
    }
    state.append({ index: state.log.lastIndex + 1, term: state.term, payload: EMPTY });
    broadcast(state, now);
}

/** Adds and removes peers after the membership changed, or after a change of it was committed. */
export function updatePeers(state: ConsensusState, now: number): void {
    const { voters, learners } = state.log.members;
    const others = new Set([...state.votingIds, ...voters, ...learners]);
    others.delete(state.id);
    for (const id of state.peers.keys()) {
        if (!others.has(id)) {
            state.peers.delete(id);
        }
    }
    for (const id of others) {
        if (!state.peers.has(id)) {
            state.peers.set(id, newPeer(state, now));
        }
    }
}

function newPeer(state: ConsensusState, now: number): Peer {
    return {
        addedAt: now,
        next: state.log.lastIndex + 1,
        match: 0,
        lastContactAt: Number.NEGATIVE_INFINITY,
        sentAt: Number.NEGATIVE_INFINITY,
        unansweredSince: undefined,
        transfer: undefined,
    };
}

/** Latest send time that a quorum has answered, in ms; this member counts as answering now. -Infinity if not leader. */
export function quorumContactAt(state: ConsensusState, now: number): number {
    if (state.role !== "leader") {
        return Number.NEGATIVE_INFINITY;
    }
    return state.reachedByQuorum(id =>
        id === state.id ? now : state.peers.get(id)?.lastContactAt ?? Number.NEGATIVE_INFINITY
    );
}

/**
 * Time since the last contact with each other member, in ms; empty if this member is not the leader. For a member that
 * has not answered yet it is the time since the election, or since the member was added.
 */
export function memberSilence(state: ConsensusState, now: number): ReadonlyMap<string, number> {
    return new Map([...state.peers].map(([id, peer]) => [id, now - Math.max(peer.lastContactAt, peer.addedAt)]));
}

/**
 * Steps down when no quorum has answered within the election timeout (check-quorum). Otherwise sends heartbeats and
 * repeats unanswered messages.
 */
export function leaderTick(state: ConsensusState, now: number): void {
    if (now - quorumContactAt(state, now) > state.options.electionMs) {
        becomeFollower(state, state.term, now);
        return;
    }
    updatePeers(state, now);
    for (const [id, peer] of state.peers) {
        if (now - peer.sentAt >= state.options.heartbeatMs) {
            sendTo(state, id, peer, now);
        }
    }
}

/** Sends new entries to each member without unanswered entries or a snapshot transfer. */
export function broadcast(state: ConsensusState, now: number): void {
    for (const [id, peer] of state.peers) {
        if (peer.unansweredSince === undefined && peer.transfer === undefined) {
            sendTo(state, id, peer, now);
        }
    }
}

/**
 * Sends the next entries or the next chunk of a snapshot, or a heartbeat if there is neither or the last one is
 * unanswered. If that one was lost, the reply to the heartbeat tells it: replies come in the order of the messages.
 */
export function sendTo(state: ConsensusState, id: string, peer: Peer, now: number): void {
    peer.sentAt = now;
    const previousIndex = peer.next - 1;
    const previousTerm = state.log.termAt(previousIndex);
    if (peer.transfer !== undefined || previousTerm === undefined) {
        sendSnapshot(state, id, peer, now);
        return;
    }
    const { maxBatchEntries, maxBatchBytes } = state.options;
    const entries = peer.unansweredSince === undefined
        ? state.log.batch(peer.next, maxBatchEntries, maxBatchBytes)
        : [];
    if (entries.length > 0) {
        peer.unansweredSince = now;
    }
    const { commitIndex, term } = state;
    state.send(id, { kind: "append", term, previousIndex, previousTerm, commitIndex, entries, sentAt: now });
}

export function handleAppend(state: ConsensusState, from: string, message: Append, now: number): void {
    if (!followLeader(state, from, message.term, now)) {
        replyTo(state, from, message, false, 0);
        return;
    }
    state.leaderCommitIndex = message.commitIndex;
    if (!matchesPrevious(state, message)) {
        replyTo(state, from, message, false, nextIndexHint(state, message.previousIndex));
        return;
    }
    const matchIndex = message.previousIndex + message.entries.length;
    addEntries(state, message);
    state.commitIndex = Math.max(state.commitIndex, Math.min(message.commitIndex, matchIndex));
    replyTo(state, from, message, true, matchIndex);
}

/** Accepts the sender as the leader of its term. Returns false when the term is older than this member's. */
export function followLeader(state: ConsensusState, from: string, term: number, now: number): boolean {
    if (term < state.term) {
        return false;
    }
    if (term > state.term || state.role !== "follower") {
        becomeFollower(state, term, now);
    }
    if (state.leader !== from) {
        state.leader = from;
        state.leaderCommitIndex = Number.POSITIVE_INFINITY;
    }
    state.leaderContactAt = now;
    state.resetElectionDeadline(now);
    return true;
}

function matchesPrevious(state: ConsensusState, message: Append): boolean {
    // Up to the commit index the logs of all leaders are equal, also where a snapshot has replaced the entries.
    return message.previousIndex <= state.commitIndex
        || state.log.termAt(message.previousIndex) === message.previousTerm;
}

function addEntries(state: ConsensusState, message: Append): void {
    for (const entry of message.entries) {
        if (entry.index <= state.commitIndex || state.log.termAt(entry.index) === entry.term) {
            continue;
        }
        if (entry.index <= state.log.lastIndex) {
            state.truncateFrom(entry.index);
        }
        state.append(entry);
    }
}

/**
 * Index after which the leader should continue when the previous entry does not match: the last index of a log that is
 * too short, otherwise the index before the first entry of the conflicting term.
 */
function nextIndexHint(state: ConsensusState, previousIndex: number): number {
    if (previousIndex > state.log.lastIndex) {
        return state.log.lastIndex;
    }
    const conflicting = state.log.termAt(previousIndex);
    let index = previousIndex - 1;
    while (index > state.commitIndex && state.log.termAt(index) === conflicting) {
        index -= 1;
    }
    return index;
}

function replyTo(state: ConsensusState, to: string, message: Append, success: boolean, matchIndex: number): void {
    const { sentAt } = message;
    state.sendDurable(to, { kind: "appendReply", term: state.term, success, matchIndex, sentAt });
}

export function handleAppendReply(state: ConsensusState, from: string, message: AppendReply, now: number): void {
    const peer = recordReply(state, from, message.term, message.sentAt, now);
    if (peer === undefined) {
        return;
    }
    if (message.sentAt >= (peer.unansweredSince ?? Infinity)) {
        peer.unansweredSince = undefined;
    }
    if (message.success) {
        peer.match = Math.max(peer.match, message.matchIndex);
        peer.next = Math.max(peer.next, peer.match + 1);
        advanceCommit(state);
    }
    else {
        peer.unansweredSince = undefined;
        peer.next = Math.max(peer.match + 1, Math.min(peer.next - 1, message.matchIndex + 1));
    }
    if (peer.next <= state.log.lastIndex && peer.transfer === undefined && peer.unansweredSince === undefined) {
        sendTo(state, from, peer, now);
    }
}

/**
 * Records the contact and returns the peer if the reply belongs to the current term of this leader; returns undefined
 * otherwise. Steps down when the reply is of a newer term.
 */
export function recordReply(
    state: ConsensusState,
    from: string,
    term: number,
    sentAt: number,
    now: number,
): Peer | undefined {
    if (term > state.term) {
        becomeFollower(state, term, now);
    }
    const peer = state.role === "leader" && term === state.term ? state.peers.get(from) : undefined;
    if (peer !== undefined) {
        peer.lastContactAt = Math.max(peer.lastContactAt, sentAt);
    }
    return peer;
}

/** Commits up to the highest entry that is durable on a quorum, if it is of the current term. */
export function advanceCommit(state: ConsensusState): void {
    if (state.role !== "leader") {
        return;
    }
    const index = state.reachedByQuorum(id => id === state.id ? state.persistedIndex : state.peers.get(id)?.match ?? 0);
    if (index > state.commitIndex && state.log.termAt(index) === state.term) {
        state.commitIndex = index;
    }
}
