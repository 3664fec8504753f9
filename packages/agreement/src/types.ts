import type { ConsensusMessage, LogEntry, Members } from "@medlarledge/protocol";

/** Options of one member. Every time is in milliseconds of the caller's monotonic clock. */
export interface ConsensusOptions {
    /** Member id of this process. A host that lost its data folder gets a new one. */
    readonly id: string;
    /** Interval of empty appends to a member while there is nothing new to send. */
    readonly heartbeatMs: number;
    /** Election timeout: a follower without a leader starts an election after a random time in [1, 2) times this. */
    readonly electionMs: number;
    /** Committed entries between two snapshots. As many entries stay in memory for members that lag slightly. */
    readonly snapshotEvery: number;
    /** Payload bytes of committed entries between two snapshots; no more stay in memory after one. */
    readonly snapshotEveryBytes: number;
    /** Maximum number of entries in one append. */
    readonly maxBatchEntries: number;
    /** Maximum number of payload bytes in one append, unless it holds a single larger entry. */
    readonly maxBatchBytes: number;
    /** Maximum number of snapshot bytes in one message. */
    readonly snapshotChunkBytes: number;
    /** Seed of the random election timeouts. */
    readonly seed: number;
}

/** Term and vote, which must be durable before a vote is sent (Raft's persistent state besides the log). */
export interface HardState {
    readonly term: number;
    readonly votedFor: string | undefined;
}

/** State of the replicated state machine after it applied the entry `lastIndex`. */
export interface Snapshot {
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly members: Members;
    readonly data: Uint8Array;
}

/** State that a store read when it was opened. */
export interface RecoveredState {
    /** True if the folder was empty: the host must not use a member id that may have voted before. */
    readonly fresh: boolean;
    /** Member id that the folder was initialized for; undefined for an empty folder. */
    readonly memberId: string | undefined;
    readonly hardState: HardState;
    /** The latest snapshot. One at index 0 holds only the initial members of the group. */
    readonly snapshot: Snapshot | undefined;
    /** Entries after the snapshot. */
    readonly entries: readonly LogEntry[];
}

/** Changes that become durable together. Entries from `truncateFrom` on are removed before `entries` are appended. */
export interface PersistBatch {
    readonly hardState?: HardState;
    readonly truncateFrom?: number;
    readonly entries: readonly LogEntry[];
}

export type Role = "follower" | "candidate" | "leader";

/**
 * Result of a proposal.
 *
 * - `committed`: the entry was emitted in a `commit` effect, earlier or in the same list of effects.
 * - `notLeader`: not added to any log, since this member is not the leader.
 * - `lost`: another entry was committed at its index, so this one will never be committed.
 * - `busy`: not added; too many entries or bytes are uncommitted, or an earlier membership change is not committed, or
 *   the learner to be promoted has not caught up. A later attempt may succeed.
 * - `tooLarge`: not added; no message could carry the entry to another member.
 * - `refused`: not added; the requested members differ from the present ones by more than one voter, or are invalid.
 * - `unknown`: a received snapshot covers the entry's index, so this member cannot determine whether it was committed.
 */
export type ProposalOutcome = "committed" | "notLeader" | "lost" | "busy" | "tooLarge" | "refused" | "unknown";

/** Input of a member. */
export type ConsensusEvent =
    | { readonly kind: "start"; readonly recovered: RecoveredState; }
    | { readonly kind: "tick"; }
    | { readonly kind: "message"; readonly from: string; readonly message: ConsensusMessage; }
    | { readonly kind: "propose"; readonly requestId: number; readonly payload: Uint8Array; }
    | { readonly kind: "proposeMembers"; readonly requestId: number; readonly members: Members; }
    /** The batch and all earlier ones are durable. */
    | { readonly kind: "persisted"; readonly batch: number; }
    | { readonly kind: "snapshotTaken"; readonly index: number; readonly data: Uint8Array; };

/**
 * Output of a member. The caller executes effects in their order; `persist` and `saveSnapshot` share one sequence of
 * batch numbers.
 */
export type ConsensusEffect =
    | { readonly kind: "persist"; readonly batch: number; } & PersistBatch
    | { readonly kind: "send"; readonly to: string; readonly message: ConsensusMessage; }
    | { readonly kind: "commit"; readonly entries: readonly LogEntry[]; }
    | { readonly kind: "proposed"; readonly requestId: number; readonly outcome: ProposalOutcome; }
    | { readonly kind: "role"; readonly role: Role; readonly term: number; readonly leader: string | undefined; }
    | { readonly kind: "takeSnapshot"; readonly index: number; }
    | { readonly kind: "restoreSnapshot"; readonly index: number; readonly data: Uint8Array; }
    | { readonly kind: "saveSnapshot"; readonly batch: number; readonly snapshot: Snapshot; };
