import type { Append, AppendReply } from "@medlarledge/protocol";
import type { ConsensusState, Peer } from "./consensus-state.js";
import { becomeFollower } from "./election.js";
import { sendSnapshot } from "./snapshot.js";

const EMPTY = new Uint8Array();

/** Opens the leader's term with an empty entry, which commits the entries of earlier terms with it. */
export function startLeading(state: ConsensusState, now: number): void {
    const voted = new Set(state.votes);
    state.role = "leader";
    state.leader = state.id;
    state.electedAt = now;
    state.peers.clear();
    updatePeers(state);
    for (const [id, peer] of state.peers) {
        // A voter answered a request that was sent at or after the start of the campaign.
        peer.contact = voted.has(id) ? state.campaignAt : Number.NEGATIVE_INFINITY;
    }
    state.append({ index: state.log.lastIndex + 1, term: state.term, payload: EMPTY });
    broadcast(state, now);
}

/** Adds and removes peers after a change of the members. */
export function updatePeers(state: ConsensusState): void {
    const { voters, learners } = state.log.members;
    const others = [...voters, ...learners].filter(id => id !== state.id);
    for (const id of state.peers.keys()) {
        if (!others.includes(id)) {
            state.peers.delete(id);
        }
    }
    for (const id of others) {
        if (!state.peers.has(id)) {
            state.peers.set(id, newPeer(state));
        }
    }
}

function newPeer(state: ConsensusState): Peer {
    return {
        next: state.log.lastIndex + 1,
        match: 0,
        contact: Number.NEGATIVE_INFINITY,
        sentAt: Number.NEGATIVE_INFINITY,
        waiting: false,
        transfer: undefined,
    };
}

/** Latest send time that a quorum has answered; this member counts as answering now. */
export function quorumContactAt(state: ConsensusState, now: number): number {
    if (state.role !== "leader") {
        return Number.NEGATIVE_INFINITY;
    }
    const times = state.log.members.voters.map(id =>
        id === state.id ? now : state.peers.get(id)?.contact ?? Number.NEGATIVE_INFINITY
    );
    return times.sort((a, b) => b - a)[state.quorum - 1] ?? Number.NEGATIVE_INFINITY;
}

/**
 * Time since each voter last answered this leader, in ms. A voter that has not answered it yet counts from the election.
 */
export function voterSilence(state: ConsensusState, now: number): ReadonlyMap<string, number> {
    const silenceOf = (id: string): number => {
        const contact = state.peers.get(id)?.contact ?? Number.NEGATIVE_INFINITY;
        return id === state.id ? 0 : now - Math.max(contact, state.electedAt);
    };
    return new Map(state.role === "leader" ? state.log.members.voters.map(id => [id, silenceOf(id)]) : []);
}

/** Steps down without a quorum, and otherwise sends heartbeats and what was not answered. */
export function leaderTick(state: ConsensusState, now: number): void {
    if (now - quorumContactAt(state, now) > state.options.electionMs) {
        becomeFollower(state, state.term, now);
        return;
    }
    for (const [id, peer] of state.peers) {
        if (now - peer.sentAt >= state.options.heartbeatMs) {
            sendTo(state, id, peer, now);
        }
    }
}

/** Sends new entries to each member that has no unanswered append. */
export function broadcast(state: ConsensusState, now: number): void {
    for (const [id, peer] of state.peers) {
        if (!peer.waiting && peer.transfer === undefined) {
            sendTo(state, id, peer, now);
        }
    }
}

/** Sends the next entries or the next piece of a snapshot, or a heartbeat if there is neither. */
export function sendTo(state: ConsensusState, id: string, peer: Peer, now: number): void {
    peer.sentAt = now;
    const previousIndex = peer.next - 1;
    const previousTerm = state.log.termAt(previousIndex);
    if (peer.transfer !== undefined || previousTerm === undefined) {
        sendSnapshot(state, id, peer, now);
        return;
    }
    const entries = state.log.slice(peer.next, previousIndex + state.options.maxBatchEntries);
    peer.waiting = entries.length > 0;
    const { commitIndex, term } = state;
    state.send(id, { kind: "append", term, previousIndex, previousTerm, commitIndex, entries, sentAt: now });
}

export function handleAppend(state: ConsensusState, from: string, message: Append, now: number): void {
    if (!followLeader(state, from, message.term, now)) {
        replyTo(state, from, message, false, 0);
        return;
    }
    if (!matchesPrevious(state, message)) {
        replyTo(state, from, message, false, hint(state, message.previousIndex));
        return;
    }
    const matchIndex = message.previousIndex + message.entries.length;
    addEntries(state, message);
    state.commitIndex = Math.max(state.commitIndex, Math.min(message.commitIndex, matchIndex));
    replyTo(state, from, message, true, matchIndex);
}

/** Accepts the sender as the leader of its term unless the term is over. */
export function followLeader(state: ConsensusState, from: string, term: number, now: number): boolean {
    if (term < state.term) {
        return false;
    }
    if (term > state.term || state.role !== "follower") {
        becomeFollower(state, term, now);
    }
    state.leader = from;
    state.leaderContactAt = now;
    state.resetElectionDeadline(now);
    return true;
}

function matchesPrevious(state: ConsensusState, message: Append): boolean {
    // Up to the commit index every leader's log is the same, also where a snapshot has replaced the entries.
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

/** Where the leader continues: before the own end, or before the first entry of the conflicting term. */
function hint(state: ConsensusState, previousIndex: number): number {
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
    const peer = answeringPeer(state, from, message.term, message.sentAt, now);
    if (peer === undefined) {
        return;
    }
    peer.waiting = false;
    if (message.success) {
        peer.match = Math.max(peer.match, message.matchIndex);
        peer.next = Math.max(peer.next, peer.match + 1);
        advanceCommit(state);
    }
    else {
        peer.next = Math.max(peer.match + 1, Math.min(peer.next - 1, message.matchIndex + 1));
    }
    if (peer.next <= state.log.lastIndex && peer.transfer === undefined) {
        sendTo(state, from, peer, now);
    }
}

/** Returns the peer whose answer belongs to the present term of this leader, and notes the contact. */
export function answeringPeer(
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
        peer.contact = Math.max(peer.contact, sentAt);
    }
    return peer;
}

/** Commits up to the highest entry of the own term that is durable at a quorum. */
export function advanceCommit(state: ConsensusState): void {
    if (state.role !== "leader") {
        return;
    }
    const durable = state.log.members.voters
        .map(id => id === state.id ? state.persistedIndex : state.peers.get(id)?.match ?? 0)
        .sort((a, b) => b - a);
    const index = durable[state.quorum - 1] ?? 0;
    if (index > state.commitIndex && state.log.termAt(index) === state.term) {
        state.commitIndex = index;
    }
}
