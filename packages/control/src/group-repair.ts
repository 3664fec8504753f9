import type { Members } from "@medlarledge/protocol";
import { hostOfMember, nextMembers } from "./member-plan.js";

/** A member that has not answered for this long is removed if the group can do without it. */
export const MEMBER_SILENCE_MS = 2_500;

/**
 * A voter that has not answered for this long is replaced by a learner that has caught up. Until then the group needs all
 * its other voters, and another control host may lose its disk 2 s after one was replaced; an election comes before.
 */
export const SUCCESSION_SILENCE_MS = 1_000;

/** The group does not shrink below this number of voters: a group of two does not tolerate the loss of one. */
export const MIN_VOTERS = 3;

export interface GroupCondition {
    /** Member ids that asked to join. */
    readonly joining: readonly string[];
    /** Learners that have caught up. */
    readonly caughtUp: readonly string[];
    /** Voters that have not answered the leader within the election timeout. */
    readonly suspected: readonly string[];
    /** Members whose hosts are about to stop. */
    readonly leaving: readonly string[];
    /** Time since each other member last answered the leader, in ms. */
    readonly silentMs: ReadonlyMap<string, number>;
}

/** What became of a member's request to leave the group. */
export const LeaveState = {
    /** The group no longer counts on the member. */
    Left: "left",
    /** Another host is about to take the member's place. */
    Pending: "pending",
    /** No other host can take its place, so that leaving would not make the group any safer. */
    Unneeded: "unneeded",
} as const;
export type LeaveState = (typeof LeaveState)[keyof typeof LeaveState];

/**
 * Returns the next membership change towards a group of exactly the running control hosts, or undefined if there is
 * none. The hosts are not configured: those that request to join are added, and those that stop answering are replaced.
 * A host that was only isolated requests to join again when it finds that it was removed.
 *
 * No learner is promoted while a voter may be lost, nor to make an even number of voters. A group of four tolerates the
 * loss of one as a group of three does. While that one is not yet removed all others are needed, and if the new one loses
 * its disk as well, the quorum ends for good; as a learner it can be replaced.
 *
 * A voter that is about to stop still answers, so its successor is promoted before it is removed: the group then never
 * tolerates fewer losses than before.
 */
export function repairedMembers(current: Members, condition: GroupCondition): Members | undefined {
    const { joining, caughtUp, suspected, leaving, silentMs } = condition;
    const isSilent = (id: string): boolean => (silentMs.get(id) ?? 0) >= MEMBER_SILENCE_MS;
    const isGone = (id: string): boolean => isSilent(id) || leaving.includes(id);
    if (current.learners.some(isGone)) {
        return { voters: current.voters, learners: current.learners.filter(id => !isGone(id)) };
    }
    const succeeded = suspected.every(id => leaving.includes(id))
        ? withSuccessor(current, condition, isSilent)
        : undefined;
    if (succeeded !== undefined) {
        return succeeded;
    }
    const hasSuccessor = caughtUp.some(id => current.learners.includes(id));
    const limitMs = hasSuccessor ? SUCCESSION_SILENCE_MS : MEMBER_SILENCE_MS;
    const removable = current.voters.find(id => (silentMs.get(id) ?? 0) >= limitMs);
    if (removable !== undefined && mayRemove(current, removable, isSilent, hasSuccessor)) {
        return { voters: current.voters.filter(id => id !== removable), learners: current.learners };
    }
    const listed = [...current.voters, ...current.learners, ...joining].map(hostOfMember);
    const promotable = suspected.length > 0 ? [] : promotableLearners(current, caughtUp);
    return nextMembers(current, { joining, caughtUp: promotable, listed });
}

/**
 * Promotes a learner in place of a voter that leaves. Removes that voter when its successor has been promoted, or when
 * there is none and the group is large enough: a voter that is gone tolerates no loss more than one that is removed.
 */
function withSuccessor(
    current: Members,
    { caughtUp, leaving }: GroupCondition,
    isSilent: (id: string) => boolean,
): Members | undefined {
    const { voters, learners } = current;
    const leavingVoter = voters.find(id => leaving.includes(id));
    if (leavingVoter === undefined) {
        return undefined;
    }
    const successor = learners.find(id => caughtUp.includes(id));
    if (successor !== undefined && voters.length % 2 === 1) {
        return { voters: [...voters, successor], learners: learners.filter(id => id !== successor) };
    }
    return mayRemove(current, leavingVoter, isSilent, false)
        ? { voters: voters.filter(id => id !== leavingVoter), learners }
        : undefined;
}

/**
 * Returns what became of a member's request to leave.
 * @param isCommitted whether `current` is committed
 */
export function leaveState(
    { voters, learners }: Members,
    isCommitted: boolean,
    member: string,
    { joining, leaving }: Pick<GroupCondition, "joining" | "leaving">,
): LeaveState {
    const isMember = voters.includes(member) || learners.includes(member);
    if (!isMember) {
        return isCommitted ? LeaveState.Left : LeaveState.Pending;
    }
    const isRemovable = learners.includes(member) || voters.length > MIN_VOTERS;
    const hasSuccessor = [...learners, ...joining].some(id => !leaving.includes(id) && !voters.includes(id));
    return isRemovable || hasSuccessor ? LeaveState.Pending : LeaveState.Unneeded;
}

/** The learners with which the number of voters becomes odd: one or two, or none. */
function promotableLearners({ voters, learners }: Members, caughtUp: readonly string[]): readonly string[] {
    const ready = learners.filter(id => caughtUp.includes(id));
    return voters.length % 2 === 0 || ready.length >= 2 ? ready : [];
}

/** A removal needs the votes of a majority of the remaining voters and must leave a group that tolerates a loss. */
function mayRemove(
    { voters }: Members,
    removable: string,
    isSilent: (id: string) => boolean,
    hasSuccessor: boolean,
): boolean {
    const staying = voters.filter(id => id !== removable);
    const answering = staying.filter(id => !isSilent(id));
    const isLargeEnough = staying.length >= MIN_VOTERS || (hasSuccessor && staying.length >= MIN_VOTERS - 1);
    return isLargeEnough && answering.length > staying.length / 2;
}
