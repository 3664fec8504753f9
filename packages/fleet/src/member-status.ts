import type { Members } from "@medlarledge/protocol";

/** Interval at which an unchanged status is reported. */
const REPORT_INTERVAL_MS = 10_000;

type Membership = "voter" | "learner" | "none";

/** Place of a control host in its group, and how far it has followed the log. */
export interface MemberStatus {
    /** By the latest members in this host's log; `none` also while its store is not open. */
    readonly membership: Membership;
    readonly memberId: string | undefined;
    /** Number of voters by the latest members in this host's log; 0 while its store is not open. */
    readonly voters: number;
    /** Number of voters that the group needs to tolerate the losses that the settings name. */
    readonly requiredVoters: number;
    readonly term: number;
    /** Host id of the leader, while this host has one. */
    readonly leader: string | undefined;
    /** Index of the log up to which this host knows all changes of the members. */
    readonly hostsIndex: number;
    /** Index of the last entry that this host knows to be committed. */
    readonly committedIndex: number;
    /** Index of the last entry in this host's state; it is lower while the own disk is behind. */
    readonly appliedIndex: number;
    /** Time since the last contact with a leader, or since the start; for the leader, with a majority. */
    readonly leaderSilenceMs: number | undefined;
}

export function membershipOf(memberId: string, { voters, learners }: Members): Membership {
    return voters.includes(memberId) ? "voter" : learners.includes(memberId) ? "learner" : "none";
}

/** Decides when the status of a control host is reported: when its place in the group changes, and regularly. */
export class StatusSchedule {
    #reported = "";
    #reportedAt = Number.NEGATIVE_INFINITY;

    /** Returns true when the status must be reported now, and records it as reported. */
    isDue({ membership, memberId, term, leader }: MemberStatus, now: number): boolean {
        const place = JSON.stringify([membership, memberId, term, leader]);
        const isDue = place !== this.#reported || now - this.#reportedAt >= REPORT_INTERVAL_MS;
        if (isDue) {
            this.#reported = place;
            this.#reportedAt = now;
        }
        return isDue;
    }
}
