import type { SnapshotChunk, SnapshotReply } from "@medlarledge/protocol";
import type { ConsensusState, IncomingSnapshot, Peer } from "./consensus-state.js";
import { reportCoveredProposals } from "./proposal.js";
import { advanceCommit, followLeader, recordReply, sendTo } from "./replication.js";
import type { Snapshot } from "./types.js";

/** Requests a snapshot of the state machine when enough entries or bytes were committed since the last one. */
export function requestSnapshot(state: ConsensusState): void {
    const { appliedIndex, options } = state;
    const lastIndex = state.snapshot?.lastIndex ?? 0;
    const isDue = appliedIndex >= lastIndex + options.snapshotEvery
        || state.log.payloadBytes(lastIndex + 1, appliedIndex) >= options.snapshotEveryBytes;
    if (isDue && state.snapshotRequested === undefined) {
        state.snapshotRequested = state.appliedIndex;
        state.emit({ kind: "takeSnapshot", index: state.appliedIndex });
    }
}

/** Saves a snapshot of this member's state machine and compacts the log. */
export function handleSnapshotTaken(state: ConsensusState, index: number, data: Uint8Array): void {
    if (state.snapshotRequested === index) {
        state.snapshotRequested = undefined;
    }
    const lastTerm = state.log.termAt(index);
    const isStale = index <= (state.snapshot?.lastIndex ?? 0) || index > state.appliedIndex;
    if (isStale || lastTerm === undefined) {
        return;
    }
    state.snapshot = { lastIndex: index, lastTerm, members: state.log.membersAt(index), data };
    state.saveSnapshot(state.snapshot);
    state.log.compact(compactionIndex(state, index));
}

/** Index up to which entries that a snapshot covers leave the memory; the ones after it fit into both limits. */
function compactionIndex({ log, options }: ConsensusState, snapshotIndex: number): number {
    let bytes = 0;
    const covered = log.slice(Math.max(log.baseIndex, snapshotIndex - options.snapshotEvery) + 1, snapshotIndex);
    const last = covered.findLast(({ payload }) => {
        bytes += payload.byteLength;
        return bytes > options.snapshotEveryBytes;
    });
    return last?.index ?? snapshotIndex - options.snapshotEvery;
}

/**
 * Sends the next chunk of the snapshot to a member whose next entry is no longer in the log. While the last chunk is
 * unanswered, an empty one is sent as a heartbeat.
 */
export function sendSnapshot(state: ConsensusState, id: string, peer: Peer, now: number): void {
    if (state.snapshot === undefined) {
        return;
    }
    peer.transfer ??= { snapshot: state.snapshot, offset: 0 };
    const { snapshot, offset } = peer.transfer;
    const isUnanswered = peer.unansweredSince !== undefined;
    const end = isUnanswered ? offset : offset + state.options.snapshotChunkBytes;
    peer.unansweredSince ??= now;
    state.send(id, {
        kind: "snapshotChunk",
        term: state.term,
        lastIndex: snapshot.lastIndex,
        lastTerm: snapshot.lastTerm,
        members: snapshot.members,
        offset,
        data: snapshot.data.subarray(offset, end),
        done: !isUnanswered && end >= snapshot.data.byteLength,
        sentAt: now,
    });
}

export function handleSnapshotChunk(state: ConsensusState, from: string, message: SnapshotChunk, now: number): void {
    if (!followLeader(state, from, message.term, now)) {
        replyTo(state, from, message, 0, false);
        return;
    }
    if (message.lastIndex <= state.commitIndex) {
        replyTo(state, from, message, message.offset + message.data.byteLength, true);
        return;
    }
    const incoming = incomingSnapshotFor(state, message);
    if (incoming === undefined) {
        return;
    }
    if (message.offset === incoming.bytes) {
        incoming.chunks.push(message.data);
        incoming.bytes += message.data.byteLength;
        if (message.done) {
            installSnapshot(state, message, incoming);
            replyTo(state, from, message, incoming.bytes, true);
            return;
        }
    }
    replyTo(state, from, message, incoming.bytes, false);
}

/**
 * Returns the transfer that a chunk belongs to, or undefined for a chunk of an older snapshot. Chunks of two leaders
 * are never joined, since each may encode the same state differently.
 */
function incomingSnapshotFor(state: ConsensusState, message: SnapshotChunk): IncomingSnapshot | undefined {
    const current = state.incoming;
    if (current?.term === message.term && current.lastIndex >= message.lastIndex) {
        return current.lastIndex === message.lastIndex ? current : undefined;
    }
    state.incoming = { term: message.term, lastIndex: message.lastIndex, chunks: [], bytes: 0 };
    return state.incoming;
}

function installSnapshot(state: ConsensusState, message: SnapshotChunk, incoming: IncomingSnapshot): void {
    const { lastIndex, lastTerm, members } = message;
    const snapshot: Snapshot = { lastIndex, lastTerm, members, data: joinChunks(incoming) };
    if (state.log.termAt(lastIndex) !== lastTerm) {
        state.log.reset(snapshot);
        state.lowerPersistedIndex(lastIndex);
    }
    state.incoming = undefined;
    state.snapshot = snapshot;
    state.snapshotRequested = undefined;
    state.commitIndex = lastIndex;
    state.appliedIndex = lastIndex;
    state.saveSnapshot(snapshot);
    state.log.compact(lastIndex);
    state.emit({ kind: "restoreSnapshot", index: lastIndex, data: snapshot.data });
    reportCoveredProposals(state, lastIndex);
}

function joinChunks(incoming: IncomingSnapshot): Uint8Array {
    const data = new Uint8Array(incoming.bytes);
    let offset = 0;
    for (const chunk of incoming.chunks) {
        data.set(chunk, offset);
        offset += chunk.byteLength;
    }
    return data;
}

function replyTo(state: ConsensusState, to: string, message: SnapshotChunk, offset: number, done: boolean): void {
    const { lastIndex, sentAt } = message;
    state.sendDurable(to, { kind: "snapshotReply", term: state.term, offset, lastIndex, done, sentAt });
}

export function handleSnapshotReply(state: ConsensusState, from: string, message: SnapshotReply, now: number): void {
    const peer = recordReply(state, from, message.term, message.sentAt, now);
    if (peer?.transfer?.snapshot.lastIndex !== message.lastIndex) {
        return;
    }
    if (message.done) {
        peer.transfer = undefined;
        peer.unansweredSince = undefined;
        peer.match = Math.max(peer.match, message.lastIndex);
        peer.next = Math.max(peer.next, peer.match + 1);
        advanceCommit(state);
        sendTo(state, from, peer, now);
    }
    else if (message.offset !== peer.transfer.offset || message.sentAt > (peer.unansweredSince ?? Infinity)) {
        peer.transfer.offset = message.offset;
        peer.unansweredSince = undefined;
        sendTo(state, from, peer, now);
    }
}
