/** An entry of the replicated log. */
export interface LogEntry {
    readonly index: number;
    readonly term: number;
    /** Opaque to the agreement; encoded by the layer above. Empty for the entry that opens a leader's term. */
    readonly payload: Uint8Array;
    /** Set on entries that change the group's membership. */
    readonly members?: Members;
}

/** Control hosts of the group. Learners receive the log but have no vote. */
export interface Members {
    readonly voters: readonly string[];
    readonly learners: readonly string[];
}

export interface PreVote {
    readonly kind: "preVote";
    readonly term: number;
    readonly lastIndex: number;
    readonly lastTerm: number;
}

export interface PreVoteReply {
    readonly kind: "preVoteReply";
    readonly term: number;
    readonly granted: boolean;
}

export interface Vote {
    readonly kind: "vote";
    readonly term: number;
    readonly lastIndex: number;
    readonly lastTerm: number;
}

export interface VoteReply {
    readonly kind: "voteReply";
    readonly term: number;
    readonly granted: boolean;
}

export interface Append {
    readonly kind: "append";
    readonly term: number;
    readonly previousIndex: number;
    readonly previousTerm: number;
    readonly commitIndex: number;
    readonly entries: readonly LogEntry[];
    /** Leader's send time on its own monotonic clock, echoed in the reply: the base of check-quorum. */
    readonly sentAt: number;
}

export interface AppendReply {
    readonly kind: "appendReply";
    readonly term: number;
    readonly success: boolean;
    /** Last index known to match on success; a hint where to continue on failure. */
    readonly matchIndex: number;
    readonly sentAt: number;
}

export interface SnapshotChunk {
    readonly kind: "snapshotChunk";
    readonly term: number;
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly members: Members;
    readonly offset: number;
    readonly data: Uint8Array;
    readonly done: boolean;
    readonly sentAt: number;
}

export interface SnapshotReply {
    readonly kind: "snapshotReply";
    readonly term: number;
    /** Bytes received so far; the sender continues from here. */
    readonly offset: number;
    readonly lastIndex: number;
    readonly done: boolean;
    readonly sentAt: number;
}

/** Messages among control hosts. */
export type ConsensusMessage =
    | PreVote
    | PreVoteReply
    | Vote
    | VoteReply
    | Append
    | AppendReply
    | SnapshotChunk
    | SnapshotReply;

/** Carries a message between members. A host that lost its disk has a new member id under the same host id. */
export interface ConsensusEnvelope {
    readonly kind: "agreement";
    readonly from: string;
    readonly to: string;
    readonly message: ConsensusMessage;
}
