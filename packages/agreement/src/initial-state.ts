import type { Members } from "@medlarledge/protocol";
import type { RecoveredState, Snapshot } from "./types.js";

/** The snapshot at index 0 that holds the first members of a group. */
export function initialSnapshot(members: Members): Snapshot {
    return { lastIndex: 0, lastTerm: 0, members, data: new Uint8Array() };
}

/** State of a member that has voted for nothing: what a store holds after it was initialized with the same members. */
export function initialState(memberId: string, members?: Members): RecoveredState {
    const snapshot = members === undefined ? undefined : initialSnapshot(members);
    return { fresh: false, memberId, hardState: { term: 0, votedFor: undefined }, snapshot, entries: [] };
}
