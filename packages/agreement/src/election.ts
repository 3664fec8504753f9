import type { MemberLost, PreVote, PreVoteReply, Vote, VoteReply } from "@medlarledge/protocol";
import type { ConsensusState } from "./consensus-state.js";
import { advanceCommit, startLeading } from "./replication.js";

/** Makes this member a follower in the given term; the leader is unknown until it sends an append. */
export function becomeFollower(state: ConsensusState, term: number, now: number): void {
    if (term > state.term) {
        state.setHardState({ term, votedFor: undefined });
    }
    state.role = "follower";
    state.leader = undefined;
    state.votes.clear();
    state.peers.clear();
    state.resetElectionDeadline(now);
}

/**
 * Drops the leader when it has not made contact within the random election timeout, and starts a pre-vote. A member that
 * cannot campaign may have been left out by the next leader: without a leader its host requests membership again.
 */
export function electionTick(state: ConsensusState, now: number): void {
    if (now < state.electionDeadline) {
        return;
    }
    state.leader = undefined;
    state.resetElectionDeadline(now);
    if (!state.canCampaign) {
        return;
    }
    state.role = "candidate";
    state.phase = "preVote";
    state.votes = new Set([state.id]);
    const preVote: PreVote = { kind: "preVote", term: state.term + 1, ...lastEntry(state) };
    otherVoters(state).forEach(to => state.send(to, preVote));
    startVoteAtQuorum(state, now);
}

/** Answers a pre-vote without changing any state, so that an isolated member that cannot win raises no term. */
export function handlePreVote(state: ConsensusState, from: string, message: PreVote, now: number): void {
    const granted = message.term > state.term && !hasLeader(state, now) && isUpToDate(state, message);
    state.send(from, { kind: "preVoteReply", term: granted ? message.term : state.term, granted });
}

export function handlePreVoteReply(state: ConsensusState, from: string, message: PreVoteReply, now: number): void {
    if (!message.granted) {
        if (message.term > state.term) {
            becomeFollower(state, message.term, now);
        }
        return;
    }
    if (state.role === "candidate" && state.phase === "preVote" && message.term === state.term + 1) {
        state.votes.add(from);
        startVoteAtQuorum(state, now);
    }
}

/** Refuses a vote while this member has a leader, even for a higher term, and does not raise the term then. */
export function handleVote(state: ConsensusState, from: string, message: Vote, now: number): void {
    const isRefused = hasLeader(state, now);
    if (!isRefused && message.term > state.term) {
        becomeFollower(state, message.term, now);
    }
    const hasFreeVote = state.votedFor === undefined || state.votedFor === from;
    const granted = !isRefused && message.term === state.term && hasFreeVote && isUpToDate(state, message);
    if (granted) {
        state.setHardState({ term: state.term, votedFor: from });
        state.resetElectionDeadline(now);
    }
    state.sendDurable(from, { kind: "voteReply", term: state.term, granted });
}

export function handleVoteReply(state: ConsensusState, from: string, message: VoteReply, now: number): void {
    if (message.term > state.term) {
        becomeFollower(state, message.term, now);
        return;
    }
    if (message.granted && message.term === state.term && isVoting(state)) {
        state.votes.add(from);
        becomeLeaderAtQuorum(state, now);
    }
}

/** Counts this member's own vote once it is durable. */
export function countOwnVote(state: ConsensusState, now: number): void {
    if (isVoting(state) && state.ownVoteBatch <= state.persistedBatch) {
        state.votes.add(state.id);
        becomeLeaderAtQuorum(state, now);
    }
}

/** Counts a voter as lost; those that are left may now be a quorum. */
export function handleMemberLost(state: ConsensusState, _from: string, { member }: MemberLost, now: number): void {
    state.lost.add(member);
    if (isVoting(state)) {
        becomeLeaderAtQuorum(state, now);
    }
    else if (state.role === "candidate") {
        startVoteAtQuorum(state, now);
    }
    advanceCommit(state);
}

function startVoteAtQuorum(state: ConsensusState, now: number): void {
    if (!hasQuorumOfVotes(state)) {
        return;
    }
    state.phase = "vote";
    state.votes = new Set();
    state.campaignStartedAt = now;
    state.ownVoteBatch = state.nextBatch;
    state.setHardState({ term: state.term + 1, votedFor: state.id });
    state.resetElectionDeadline(now);
    const vote: Vote = { kind: "vote", term: state.term, ...lastEntry(state) };
    // If the request were sent before the vote is durable, its replies could arrive after a restart with a shorter log.
    otherVoters(state).forEach(to => state.sendDurable(to, vote));
}

function becomeLeaderAtQuorum(state: ConsensusState, now: number): void {
    if (hasQuorumOfVotes(state) && state.votes.has(state.id)) {
        startLeading(state, now);
    }
}

function hasQuorumOfVotes(state: ConsensusState): boolean {
    return state.isQuorum(id => state.votes.has(id));
}

function isVoting(state: ConsensusState): boolean {
    return state.role === "candidate" && state.phase === "vote";
}

function hasLeader(state: ConsensusState, now: number): boolean {
    return state.role === "leader" || now - state.leaderContactAt < state.options.electionMs;
}

/**
 * A member that knows that it is no voter any more compares only its committed entries: the others may still need its vote
 * because they do not know that its removal is committed, and nobody relies on its later entries.
 */
function isUpToDate({ log, commitIndex, canCampaign }: ConsensusState, message: PreVote | Vote): boolean {
    const lastIndex = canCampaign ? log.lastIndex : commitIndex;
    const lastTerm = log.termAt(lastIndex) ?? log.lastTerm;
    return message.lastTerm > lastTerm || (message.lastTerm === lastTerm && message.lastIndex >= lastIndex);
}

function lastEntry(state: ConsensusState): { lastIndex: number; lastTerm: number; } {
    return { lastIndex: state.log.lastIndex, lastTerm: state.log.lastTerm };
}

function otherVoters(state: ConsensusState): readonly string[] {
    return state.votingIds.filter(id => id !== state.id);
}
