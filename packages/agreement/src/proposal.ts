import { type LogEntry, MAX_LOG_ENTRY_BYTES, type Members } from "@medlarledge/protocol";
import type { ConsensusState } from "./consensus-state.js";
import { membersRefusal } from "./membership.js";
import { broadcast, updatePeers } from "./replication.js";

/** Maximum number of uncommitted entries and bytes, in batches. Further proposals are refused to bound the memory. */
const MAX_UNCOMMITTED_BATCHES = 16;
const EMPTY = new Uint8Array();

/** Appends an entry to the log, or reports at once why it is refused. */
export function propose(state: ConsensusState, requestId: number, payload: Uint8Array, now: number): void {
    if (state.role !== "leader") {
        state.emit({ kind: "proposed", requestId, outcome: "notLeader" });
        return;
    }
    if (payload.byteLength > MAX_LOG_ENTRY_BYTES) {
        state.emit({ kind: "proposed", requestId, outcome: "tooLarge" });
        return;
    }
    if (hasTooMuchUncommitted(state)) {
        state.emit({ kind: "proposed", requestId, outcome: "busy" });
        return;
    }
    appendProposal(state, requestId, { index: state.log.lastIndex + 1, term: state.term, payload });
    broadcast(state, now);
}

function hasTooMuchUncommitted({ log, commitIndex, options }: ConsensusState): boolean {
    return log.lastIndex - commitIndex >= MAX_UNCOMMITTED_BATCHES * options.maxBatchEntries
        || log.payloadBytes(commitIndex + 1, log.lastIndex) >= MAX_UNCOMMITTED_BATCHES * options.maxBatchBytes;
}

/** Appends an entry that changes the members, or reports at once why it is refused. */
export function proposeMembers(state: ConsensusState, requestId: number, members: Members, now: number): void {
    const outcome = state.role === "leader" ? membersRefusal(state, members) : "notLeader";
    if (outcome !== undefined) {
        state.emit({ kind: "proposed", requestId, outcome });
        return;
    }
    appendProposal(state, requestId, { index: state.log.lastIndex + 1, term: state.term, payload: EMPTY, members });
    updatePeers(state, now);
    broadcast(state, now);
}

function appendProposal(state: ConsensusState, requestId: number, entry: LogEntry): void {
    state.append(entry);
    // An entry that is truncated on this member may still be committed through another member that has it, so its
    // outcome is unknown until an entry is committed at its index.
    state.pending.set(requestId, { index: entry.index, term: entry.term });
}

/** Reports the outcome of the proposals whose index is now committed. */
export function reportCommittedProposals(state: ConsensusState, entries: readonly LogEntry[]): void {
    const terms = new Map(entries.map(entry => [entry.index, entry.term]));
    for (const [requestId, { index, term }] of state.pending) {
        const committedTerm = terms.get(index);
        if (committedTerm !== undefined) {
            state.pending.delete(requestId);
            state.emit({ kind: "proposed", requestId, outcome: committedTerm === term ? "committed" : "lost" });
        }
    }
}

/** Reports the outcome of proposals that a received snapshot covers as unknown. */
export function reportCoveredProposals(state: ConsensusState, lastIndex: number): void {
    for (const [requestId, { index }] of state.pending) {
        if (index <= lastIndex) {
            state.pending.delete(requestId);
            state.emit({ kind: "proposed", requestId, outcome: "unknown" });
        }
    }
}
