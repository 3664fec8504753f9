import type { SnapshotChunk, SnapshotReply } from "@medlarledge/protocol";
import type { ConsensusState, Incoming, Peer } from "./consensus-state.js";
import { settleCovered } from "./proposal.js";
import { advanceCommit, answeringPeer, followLeader, sendTo } from "./replication.js";
import type { Snapshot } from "./types.js";

/** Asks for a snapshot when enough entries were committed since the last one. */
export function requestSnapshot(state: ConsensusState): void {
    const due = (state.snapshot?.lastIndex ?? 0) + state.options.snapshotEvery;
    if (state.appliedIndex >= due && state.snapshotRequested === undefined) {
        state.snapshotRequested = state.appliedIndex;
        state.emit({ kind: "takeSnapshot", index: state.appliedIndex });
    }
}

/** Saves a snapshot of the own state machine and shortens the log. */
export function takenSnapshot(state: ConsensusState, index: number, data: Uint8Array): void {
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
    state.log.compact(index - state.options.snapshotEvery);
}

/** Sends the next piece of the snapshot to a member whose next entry is no longer in the log. */
export function sendSnapshot(state: ConsensusState, id: string, peer: Peer, now: number): void {
    if (state.snapshot === undefined) {
        return;
    }
    peer.transfer ??= { snapshot: state.snapshot, offset: 0 };
    const { snapshot, offset } = peer.transfer;
    const end = offset + state.options.snapshotChunkBytes;
    state.send(id, {
        kind: "snapshotChunk",
        term: state.term,
        lastIndex: snapshot.lastIndex,
        lastTerm: snapshot.lastTerm,
        members: snapshot.members,
        offset,
        data: snapshot.data.subarray(offset, end),
        done: end >= snapshot.data.byteLength,
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
    const incoming = incomingFor(state, message);
    if (incoming === undefined) {
        return;
    }
    if (message.offset === incoming.bytes) {
        incoming.pieces.push(message.data);
        incoming.bytes += message.data.byteLength;
        if (message.done) {
            install(state, message, incoming);
            replyTo(state, from, message, incoming.bytes, true);
            return;
        }
    }
    replyTo(state, from, message, incoming.bytes, false);
}

/** Pieces of two leaders are never joined: the same state may be encoded differently by each. */
function incomingFor(state: ConsensusState, message: SnapshotChunk): Incoming | undefined {
    const present = state.incoming;
    if (present?.term === message.term && present.lastIndex >= message.lastIndex) {
        return present.lastIndex === message.lastIndex ? present : undefined;
    }
    state.incoming = { term: message.term, lastIndex: message.lastIndex, pieces: [], bytes: 0 };
    return state.incoming;
}

function install(state: ConsensusState, message: SnapshotChunk, incoming: Incoming): void {
    const { lastIndex, lastTerm, members } = message;
    const snapshot: Snapshot = { lastIndex, lastTerm, members, data: join(incoming) };
    if (state.log.termAt(lastIndex) !== lastTerm) {
        state.log.reset(snapshot);
        state.forgetPersistedAfter(lastIndex);
    }
    state.incoming = undefined;
    state.snapshot = snapshot;
    state.snapshotRequested = undefined;
    state.commitIndex = lastIndex;
    state.appliedIndex = lastIndex;
    state.saveSnapshot(snapshot);
    state.log.compact(lastIndex);
    state.emit({ kind: "restoreSnapshot", index: lastIndex, data: snapshot.data });
    settleCovered(state, lastIndex);
}

function join(incoming: Incoming): Uint8Array {
    const data = new Uint8Array(incoming.bytes);
    let offset = 0;
    for (const piece of incoming.pieces) {
        data.set(piece, offset);
        offset += piece.byteLength;
    }
    return data;
}

function replyTo(state: ConsensusState, to: string, message: SnapshotChunk, offset: number, done: boolean): void {
    const { lastIndex, sentAt } = message;
    state.sendDurable(to, { kind: "snapshotReply", term: state.term, offset, lastIndex, done, sentAt });
}

export function handleSnapshotReply(state: ConsensusState, from: string, message: SnapshotReply, now: number): void {
    const peer = answeringPeer(state, from, message.term, message.sentAt, now);
    if (peer?.transfer?.snapshot.lastIndex !== message.lastIndex) {
        return;
    }
    if (message.done) {
        peer.transfer = undefined;
        peer.waiting = false;
        peer.match = Math.max(peer.match, message.lastIndex);
        peer.next = Math.max(peer.next, peer.match + 1);
        advanceCommit(state);
        sendTo(state, from, peer, now);
    }
    else if (message.offset !== peer.transfer.offset) {
        peer.transfer.offset = message.offset;
        sendTo(state, from, peer, now);
    }
}
