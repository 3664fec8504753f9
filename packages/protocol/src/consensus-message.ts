/** An entry of the replicated log. */
export interface LogEntry {
    readonly index: number;
    readonly term: number;
    /** Encoded by the state machine, opaque to consensus. Empty for the first entry of a leader's term. */
    readonly payload: Uint8Array;
    /** New members; set on entries that change the membership of the group. */
    readonly members?: Members;
}

/** Control hosts of the consensus group, by member id. Learners receive the log but have no vote. */
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
    /** Send time on the leader's monotonic clock, in ms; echoed in the reply and used for check-quorum. */
    readonly sentAt: number;
}

export interface AppendReply {
    readonly kind: "appendReply";
    readonly term: number;
    readonly success: boolean;
    /** On success the last index that matches the leader's log; on failure the index after which to continue. */
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
    /** Number of snapshot bytes received so far; the sender continues from there. */
    readonly offset: number;
    readonly lastIndex: number;
    readonly done: boolean;
    readonly sentAt: number;
}

/**
 * Answers a message to a former member of the sender's host: that member's files are lost, so it will never vote or
 * acknowledge again.
 */
export interface MemberLost {
    readonly kind: "memberLost";
    readonly member: string;
}

/** Messages of the Raft consensus among control hosts. */
export type ConsensusMessage =
    | PreVote
    | PreVoteReply
    | Vote
    | VoteReply
    | Append
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | MemberLost;

/** Envelope of a message between members. `from` and `to` are member ids: a host that lost its disk gets a new one. */
export interface ConsensusEnvelope {
    readonly kind: "agreement";
    readonly from: string;
    readonly to: string;
    readonly message: ConsensusMessage;
}
