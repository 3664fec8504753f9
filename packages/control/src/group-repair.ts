import type { Members } from "@medlarledge/protocol";
import { hostOfMember, nextMembers } from "./member-plan.js";

/** A member that has not answered for this long is removed if the group can do without it. */
export const MEMBER_SILENCE_MS = 2_500;

/**
 * In a group with an even number of voters one that has not answered for this long is removed: without it as many others
 * may fail as with it. Until then the group needs one voter more, and another host may be lost any time after the
 * successor of the silent one is ready.
 */
export const SUCCESSION_SILENCE_MS = 1_000;

/** The group does not shrink below this number of voters: a group of two does not tolerate the loss of one. */
export const MIN_VOTERS = 3;

/** Losses that are tolerated where the settings name no number. */
export const DEFAULT_TOLERATED_LOSSES = 1;

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
    /** Number of control hosts that may lose their disks at the same time. */
    readonly toleratedLosses: number;
}

/**
 * The number of voters with which a group has a majority left, and every acknowledged entry, after the tolerated losses.
 * Voters that are only silent count among them, since others may lose their disks until they are back.
 */
export function requiredVoters(toleratedLosses: number): number {
    return Math.max(MIN_VOTERS, 2 * toleratedLosses + 1);
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
 * none. The hosts are not configured: those that request to join are added, and those that stop answering are removed,
 * as long as `requiredVoters` are left. A host that was only isolated requests to join again when it finds that it was
 * removed.
 *
 * A voter that is about to stop still answers, so its successor is promoted before it is removed: the group then never
 * tolerates fewer losses than before.
 */
export function repairedMembers(current: Members, condition: GroupCondition): Members | undefined {
    const { joining, suspected, leaving, silentMs, toleratedLosses } = condition;
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
    const limitMs = current.voters.length % 2 === 0 ? SUCCESSION_SILENCE_MS : MEMBER_SILENCE_MS;
    const removable = current.voters.find(id => (silentMs.get(id) ?? 0) >= limitMs);
    if (removable !== undefined && mayRemove(current, removable, isSilent, toleratedLosses)) {
        return { voters: current.voters.filter(id => id !== removable), learners: current.learners };
    }
    const listed = [...current.voters, ...current.learners, ...joining].map(hostOfMember);
    return nextMembers(current, { joining, caughtUp: promotableLearners(current, condition), listed });
}

/**
 * Promotes a learner in place of a voter that leaves. Removes that voter when its successor has been promoted, or when
 * there is none and the group is large enough: a voter that is gone tolerates no loss more than one that is removed.
 */
function withSuccessor(
    current: Members,
    { caughtUp, leaving, toleratedLosses }: GroupCondition,
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
    return mayRemove(current, leavingVoter, isSilent, toleratedLosses)
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
    { joining, leaving, toleratedLosses }: Pick<GroupCondition, "joining" | "leaving" | "toleratedLosses">,
): LeaveState {
    const isMember = voters.includes(member) || learners.includes(member);
    if (!isMember) {
        return isCommitted ? LeaveState.Left : LeaveState.Pending;
    }
    const isRemovable = learners.includes(member) || voters.length > requiredVoters(toleratedLosses);
    const hasSuccessor = [...learners, ...joining].some(id => !leaving.includes(id) && !voters.includes(id));
    return isRemovable || hasSuccessor ? LeaveState.Pending : LeaveState.Unneeded;
}

/**
 * The learners to promote now: those with which the number of voters becomes odd, and one more than `requiredVoters`.
 *
 * With that one every acknowledged entry is on one disk more, and a quorum is left when another voter is gone for good at
 * the moment of the tolerated losses: it no longer counts as one of them once its successor is ready. While a voter may
 * be lost, an even number of voters needs one more of those that are left, so a short silence is waited for.
 */
function promotableLearners(
    { voters, learners }: Members,
    { caughtUp, suspected, silentMs, toleratedLosses }: GroupCondition,
): readonly string[] {
    const ready = learners.filter(id => caughtUp.includes(id));
    if (voters.length % 2 === 0 || (ready.length >= 2 && suspected.length === 0)) {
        return ready;
    }
    const isSettled = suspected.every(id => (silentMs.get(id) ?? 0) >= SUCCESSION_SILENCE_MS);
    return isSettled && voters.length <= requiredVoters(toleratedLosses) ? ready : [];
}

/** A removal needs the votes of a majority of the remaining voters and must leave a group that tolerates the losses. */
function mayRemove(
    { voters }: Members,
    removable: string,
    isSilent: (id: string) => boolean,
    toleratedLosses: number,
): boolean {
    const staying = voters.filter(id => id !== removable);
    const answering = staying.filter(id => !isSilent(id));
    return staying.length >= requiredVoters(toleratedLosses) && answering.length > staying.length / 2;
}
