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
    /** Time since each other member last answered the leader, in ms. */
    readonly silentMs: ReadonlyMap<string, number>;
}

/**
 * Returns the next membership change towards a group of exactly the running control hosts, or undefined if there is
 * none. The hosts are not configured: those that request to join are added, and those that stop answering are replaced.
 * A host that was only isolated requests to join again when it finds that it was removed.
 *
 * No learner is promoted while a voter may be lost, nor to make an even number of voters. A group of four tolerates the
 * loss of one as a group of three does. While that one is not yet removed all others are needed, and if the new one loses
 * its disk as well, the quorum ends for good; as a learner it can be replaced.
 */
export function repairedMembers(current: Members, condition: GroupCondition): Members | undefined {
    const { joining, caughtUp, suspected, silentMs } = condition;
    const isSilent = (id: string): boolean => (silentMs.get(id) ?? 0) >= MEMBER_SILENCE_MS;
    if (current.learners.some(isSilent)) {
        return { voters: current.voters, learners: current.learners.filter(id => !isSilent(id)) };
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
