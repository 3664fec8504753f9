import type { Members } from "@medlarledge/protocol";

/** Separates the host id from the part that makes the member id of a replaced disk unique. */
const REPLACEMENT_MARK = "#";

/** The host that a member runs on. */
export function hostOfMember(memberId: string): string {
    const mark = memberId.indexOf(REPLACEMENT_MARK);
    return mark === -1 ? memberId : memberId.slice(0, mark);
}

/** Member id of a host that starts without the files of its former membership. */
export function replacementMemberId(hostId: string, incarnation: string): string {
    return `${hostId}${REPLACEMENT_MARK}${incarnation}`;
}

/**
 * The next single step towards a group in which each listed control host has exactly one voter: add the learner of a
 * host that asks to join, remove the voter that it replaces, promote it when it has caught up, remove hosts that are no
 * longer listed. Returns undefined when nothing is to be done.
 *
 * The replaced voter goes first because its disk is gone: promoting before removing it would make a group of four of
 * which three are needed, so that a second loss of the same host's disk could end the quorum for good.
 */
export function nextMembers(
    current: Members,
    request: {
        /** Member ids that asked to join. */
        readonly joining: readonly string[];
        readonly caughtUp: readonly string[];
        /** Control hosts by the settings of the leader. */
        readonly listed: readonly string[];
    },
): Members | undefined {
    return withoutReplaced(current) ?? withPromoted(current, request.caughtUp) ?? withLearner(current, request)
        ?? withoutUnlisted(current, request.listed);
}

function withoutReplaced({ voters, learners }: Members): Members | undefined {
    const replaced = voters.find((id, index) =>
        [...learners, ...voters.slice(index + 1)].some(other => hostOfMember(other) === hostOfMember(id))
    );
    return replaced === undefined || voters.length === 1
        ? undefined
        : { voters: voters.filter(id => id !== replaced), learners };
}

function withPromoted({ voters, learners }: Members, caughtUp: readonly string[]): Members | undefined {
    const promoted = learners.find(id => caughtUp.includes(id));
    if (promoted === undefined) {
        return undefined;
    }
    return { voters: [...voters, promoted], learners: learners.filter(id => id !== promoted) };
}

function withLearner(
    { voters, learners }: Members,
    request: { readonly joining: readonly string[]; readonly listed: readonly string[]; },
): Members | undefined {
    const joining = request.joining.find(id =>
        request.listed.includes(hostOfMember(id)) && !voters.includes(id) && !learners.includes(id)
    );
    if (joining === undefined) {
        return undefined;
    }
    // A host that was wiped again before it was promoted leaves a learner that nobody runs any more.
    const others = learners.filter(id => hostOfMember(id) !== hostOfMember(joining));
    return { voters, learners: [...others, joining] };
}

function withoutUnlisted({ voters, learners }: Members, listed: readonly string[]): Members | undefined {
    const remaining = voters.filter(id => listed.includes(hostOfMember(id)));
    const unlisted = voters.find(id => !listed.includes(hostOfMember(id)));
    if (unlisted === undefined || remaining.length === 0) {
        return undefined;
    }
    return { voters: voters.filter(id => id !== unlisted), learners };
}
