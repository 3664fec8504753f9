import type { Members } from "@medlarledge/protocol";
import type { ConsensusState } from "./consensus-state.js";
import type { ProposalOutcome } from "./types.js";

/** Checks a membership change. Returns undefined if it can be appended to the log, otherwise the outcome to report. */
export function membersRefusal(state: ConsensusState, next: Members): ProposalOutcome | undefined {
    const current = state.log.members;
    if (!isSingleVoterChange(current, next)) {
        return "refused";
    }
    // A leader must first commit an entry of its own term: otherwise an uncommitted change of an earlier leader could
    // be replaced by a second one whose quorum does not overlap with it.
    const isOwnTermCommitted = state.log.termAt(state.commitIndex) === state.term;
    if (state.log.membersIndex > state.commitIndex || !isOwnTermCommitted) {
        return "busy";
    }
    const promoted = next.voters.filter(id => !current.voters.includes(id));
    return promoted.every(id => isCaughtUp(state, id)) ? undefined : "busy";
}

/** Learners whose log has reached the commit index and that have answered within the election timeout. */
export function caughtUpLearners(state: ConsensusState, now: number): readonly string[] {
    return state.log.members.learners.filter(id => isCaughtUp(state, id) && isAnswering(state, id, now));
}

/** Voters that have not answered this leader within the election timeout. */
export function suspectedVoters(state: ConsensusState, now: number): readonly string[] {
    return state.log.members.voters.filter(id => id !== state.id && !isAnswering(state, id, now));
}

function isAnswering(state: ConsensusState, id: string, now: number): boolean {
    return now - (state.peers.get(id)?.lastContactAt ?? -Infinity) <= state.options.electionMs;
}

function isCaughtUp(state: ConsensusState, id: string): boolean {
    return (state.peers.get(id)?.match ?? -1) >= state.commitIndex;
}

/** True if at most one voter changes: a learner is promoted or a voter removed. Learners may change freely. */
function isSingleVoterChange(current: Members, next: Members): boolean {
    const added = next.voters.filter(id => !current.voters.includes(id));
    const removed = current.voters.filter(id => !next.voters.includes(id));
    const ids = [...next.voters, ...next.learners];
    return next.voters.length > 0
        && new Set(ids).size === ids.length
        && added.length + removed.length <= 1
        && added.every(id => current.learners.includes(id));
}
