/** Ids of voters, in one set for each membership that may be in force. */
export type VoterSets = readonly (readonly string[])[];

/**
 * True if the members that `has` accepts are a quorum of every voter set: a majority, or half of an even number of voters
 * while another one of them is lost.
 *
 * A lost voter never votes or acknowledges again, so the others are an odd number, of which half of all voters is a
 * majority. It shares an intact voter with every other quorum of the same voters, also with one that was reached before
 * further disks were lost: of n voters of which e are lost by now, a majority still has n/2 + 1 - e or more, and
 * n/2 + (n/2 + 1 - e) > n - e. The voters before a change count until it is committed, since quorums of two memberships
 * that differ by one voter need not share an intact one.
 */
export function isQuorum(sets: VoterSets, lost: ReadonlySet<string>, has: (id: string) => boolean): boolean {
    return sets.every(voters => {
        const half = voters.length / 2;
        const intact = voters.filter(id => !lost.has(id));
        return voters.filter(has).length > half
            || (intact.length < voters.length && intact.filter(has).length >= half);
    });
}

/** The highest value that the members of a quorum have all reached; -Infinity if there is none. */
export function reachedByQuorum(
    sets: VoterSets,
    lost: ReadonlySet<string>,
    valueOf: (id: string) => number,
): number {
    const values = sets.flatMap(voters => voters.map(valueOf)).sort((a, b) => b - a);
    return values.find(value => isQuorum(sets, lost, id => valueOf(id) >= value)) ?? Number.NEGATIVE_INFINITY;
}
