import type { LogEntry, Members } from "@medlarledge/protocol";
import type { ConsensusState } from "./consensus-state.js";
import { refusalOf } from "./membership.js";
import { broadcast, updatePeers } from "./replication.js";

// Entries that may wait for commitment, in batches; beyond it proposals are refused so that memory stays bounded.
const MAX_WAITING_BATCHES = 16;
const EMPTY = new Uint8Array();

export function propose(state: ConsensusState, requestId: number, payload: Uint8Array, now: number): void {
    if (state.role !== "leader") {
        state.emit({ kind: "proposed", requestId, outcome: "notLeader" });
        return;
    }
    const waiting = state.log.lastIndex - state.commitIndex;
    if (waiting >= MAX_WAITING_BATCHES * state.options.maxBatchEntries) {
        state.emit({ kind: "proposed", requestId, outcome: "busy" });
        return;
    }
    add(state, requestId, { index: state.log.lastIndex + 1, term: state.term, payload });
    broadcast(state, now);
}

export function proposeMembers(state: ConsensusState, requestId: number, members: Members, now: number): void {
    const outcome = state.role === "leader" ? refusalOf(state, members) : "notLeader";
    if (outcome !== undefined) {
        state.emit({ kind: "proposed", requestId, outcome });
        return;
    }
    add(state, requestId, { index: state.log.lastIndex + 1, term: state.term, payload: EMPTY, members });
    updatePeers(state);
    broadcast(state, now);
}

function add(state: ConsensusState, requestId: number, entry: LogEntry): void {
    state.append(entry);
    // An entry that is truncated here may still be committed through a member that has it, so its outcome stays open
    // until an entry is committed at its index.
    state.pending.set(requestId, { index: entry.index, term: entry.term });
}

/** Reports the outcome of proposals at indexes that were committed. */
export function settleCommitted(state: ConsensusState, entries: readonly LogEntry[]): void {
    const terms = new Map(entries.map(entry => [entry.index, entry.term]));
    for (const [requestId, { index, term }] of state.pending) {
        const committed = terms.get(index);
        if (committed !== undefined) {
            state.pending.delete(requestId);
            state.emit({ kind: "proposed", requestId, outcome: committed === term ? "committed" : "lost" });
        }
    }
}

/** Reports proposals that a received snapshot covers. */
export function settleCovered(state: ConsensusState, lastIndex: number): void {
    for (const [requestId, { index }] of state.pending) {
        if (index <= lastIndex) {
            state.pending.delete(requestId);
            state.emit({ kind: "proposed", requestId, outcome: "unknown" });
        }
    }
}
