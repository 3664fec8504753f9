import type { ConsensusMessage, LogEntry, Members } from "@medlarledge/protocol";

/** Settings of one member. Every time is in milliseconds of the caller's monotonic clock. */
export interface ConsensusOptions {
    /** Own member id. A host that lost its data folder gets a new one. */
    readonly id: string;
    /** Time between two appends to a member while there is nothing new to send. */
    readonly heartbeatMs: number;
    /** A follower starts an election after a random time in [1, 2) times this without a leader. */
    readonly electionMs: number;
    /** Committed entries between two snapshots. As many entries stay in memory for members that are slightly behind. */
    readonly snapshotEvery: number;
    /** Most entries in one append. */
    readonly maxBatchEntries: number;
    /** Most bytes of a snapshot in one message. */
    readonly snapshotChunkBytes: number;
    /** Seed of the election times. */
    readonly seed: number;
}

/** The part of the state that must be durable before a vote leaves. */
export interface HardState {
    readonly term: number;
    readonly votedFor: string | undefined;
}

/** State of the replicated state machine after the entry `lastIndex`. */
export interface Snapshot {
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly members: Members;
    readonly data: Uint8Array;
}

/** What a store found on opening. */
export interface RecoveredState {
    /** True if the folder held nothing: the host must not use a member id that may have voted before. */
    readonly fresh: boolean;
    /** Member id that the folder was initialized for; undefined if it is fresh. */
    readonly memberId: string | undefined;
    readonly hardState: HardState;
    /** A snapshot at index 0 holds the initial members of the group. */
    readonly snapshot: Snapshot | undefined;
    /** Entries after the snapshot. */
    readonly entries: readonly LogEntry[];
}

/** Changes that become durable together. Entries from `truncateFrom` on are removed before the new ones are added. */
export interface PersistBatch {
    readonly hardState?: HardState;
    readonly truncateFrom?: number;
    readonly entries: readonly LogEntry[];
}

export type Role = "follower" | "candidate" | "leader";

/**
 * Result of a proposal.
 *
 * - `committed`: the entry was emitted in a `commit` effect, here or in the same list of effects.
 * - `notLeader`: not added to any log.
 * - `lost`: another entry was committed at its index; it will never be committed.
 * - `busy`: not added; too many entries wait, or an earlier membership change is not committed, or the learner to be
 *   promoted has not caught up. A later attempt may succeed.
 * - `refused`: not added; the members asked for are not one valid step away from the present ones.
 * - `unknown`: a received snapshot covers the entry's index, so whether it was committed cannot be told here.
 */
export type ProposalOutcome = "committed" | "notLeader" | "lost" | "busy" | "refused" | "unknown";

export type ConsensusEvent =
    | { readonly kind: "start"; readonly recovered: RecoveredState; }
    | { readonly kind: "tick"; }
    | { readonly kind: "message"; readonly from: string; readonly message: ConsensusMessage; }
    | { readonly kind: "propose"; readonly requestId: number; readonly payload: Uint8Array; }
    | { readonly kind: "proposeMembers"; readonly requestId: number; readonly members: Members; }
    /** The batch and all earlier ones are durable. */
    | { readonly kind: "persisted"; readonly batch: number; }
    | { readonly kind: "snapshotTaken"; readonly index: number; readonly data: Uint8Array; };

/** Effects are executed in their order; `persist` and `saveSnapshot` share one sequence of batch numbers. */
export type ConsensusEffect =
    | { readonly kind: "persist"; readonly batch: number; } & PersistBatch
    | { readonly kind: "send"; readonly to: string; readonly message: ConsensusMessage; }
    | { readonly kind: "commit"; readonly entries: readonly LogEntry[]; }
    | { readonly kind: "proposed"; readonly requestId: number; readonly outcome: ProposalOutcome; }
    | { readonly kind: "role"; readonly role: Role; readonly term: number; readonly leader: string | undefined; }
    | { readonly kind: "takeSnapshot"; readonly index: number; }
    | { readonly kind: "restoreSnapshot"; readonly index: number; readonly data: Uint8Array; }
    | { readonly kind: "saveSnapshot"; readonly batch: number; readonly snapshot: Snapshot; };
