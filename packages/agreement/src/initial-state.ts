import type { Members } from "@medlarledge/protocol";
import type { RecoveredState, Snapshot } from "./types.js";

/** Returns the snapshot at index 0 that holds the initial members of a group. */
export function initialSnapshot(members: Members): Snapshot {
    return { lastIndex: 0, lastTerm: 0, members, data: new Uint8Array() };
}

/** Returns the state of a member that has never voted, as a store recovers it after `initialize` with these members. */
export function initialState(memberId: string, members?: Members): RecoveredState {
    const snapshot = members === undefined ? undefined : initialSnapshot(members);
    return { fresh: false, memberId, hardState: { term: 0, votedFor: undefined }, snapshot, entries: [] };
}
