import type { Members } from "@medlarledge/protocol";
import { hostOfMember, nextMembers } from "./member-plan.js";

/** A voter that has not answered for this long may be replaced by a member that has caught up. */
export const REPLACE_MS = 2_500;

/** The group does not shrink below this number of voters: two of them would bear no loss. */
export const MIN_VOTERS = 3;

export interface GroupCondition {
    /** Member ids that asked to join. */
    readonly joining: readonly string[];
    /** Learners that have caught up. */
    readonly caughtUp: readonly string[];
    /** Time since each voter last answered the leader, in ms; its own is 0. */
    readonly silentMs: ReadonlyMap<string, number>;
}

/**
 * The next single step towards a group of exactly those control hosts that are there. Nobody lists the hosts: those that
 * ask to join are added, and those that have fallen silent make room for a successor. A host that was only cut off asks
 * to join again when it finds itself left out.
 */
export function repairedMembers(current: Members, condition: GroupCondition): Members | undefined {
    const { joining, caughtUp, silentMs } = condition;
    const removable = current.voters.find(id => (silentMs.get(id) ?? 0) >= REPLACE_MS);
    const hasSuccessor = caughtUp.some(id => current.learners.includes(id));
    if (removable !== undefined && mayRemove(current, removable, silentMs, hasSuccessor)) {
        return { voters: current.voters.filter(id => id !== removable), learners: current.learners };
    }
    const listed = [...current.voters, ...current.learners, ...joining].map(hostOfMember);
    return nextMembers(current, { joining, caughtUp, listed });
}

/** Removal needs the votes of a majority of those that stay, and must leave a group that bears a loss. */
function mayRemove(
    { voters }: Members,
    removable: string,
    silentMs: GroupCondition["silentMs"],
    hasSuccessor: boolean,
): boolean {
    const staying = voters.filter(id => id !== removable);
    const answering = staying.filter(id => (silentMs.get(id) ?? 0) < REPLACE_MS);
    const isLargeEnough = staying.length >= MIN_VOTERS || (hasSuccessor && staying.length >= MIN_VOTERS - 1);
    return isLargeEnough && answering.length > staying.length / 2;
}
