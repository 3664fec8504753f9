/** Sums over requests of one database in one span of time. Worth is a plain number without unit. */
export interface ServiceCount {
    readonly requests: number;
    readonly worth: number;
    /** Worth of requests answered in full within their deadline. */
    readonly worthInTime: number;
    readonly reads: number;
    readonly replicaReads: number;
    /** Reads whose floor or age held; a read that could not be proved fresh is refused and missing here. */
    readonly freshReads: number;
    readonly late: number;
    readonly retries: number;
    /** Refused requests by cause. */
    readonly notRun: Readonly<Record<string, number>>;
    readonly unknown: Readonly<Record<string, number>>;
    readonly failovers: number;
    readonly slowFailovers: number;
    readonly longestFailoverMs: number;
}

export const EMPTY_COUNT: ServiceCount = {
    requests: 0,
    worth: 0,
    worthInTime: 0,
    reads: 0,
    replicaReads: 0,
    freshReads: 0,
    late: 0,
    retries: 0,
    notRun: {},
    unknown: {},
    failovers: 0,
    slowFailovers: 0,
    longestFailoverMs: 0,
};

/** Adds two counts. */
export function addCounts(left: ServiceCount, right: ServiceCount): ServiceCount {
    return {
        requests: left.requests + right.requests,
        worth: left.worth + right.worth,
        worthInTime: left.worthInTime + right.worthInTime,
        reads: left.reads + right.reads,
        replicaReads: left.replicaReads + right.replicaReads,
        freshReads: left.freshReads + right.freshReads,
        late: left.late + right.late,
        retries: left.retries + right.retries,
        notRun: addByCause(left.notRun, right.notRun),
        unknown: addByCause(left.unknown, right.unknown),
        failovers: left.failovers + right.failovers,
        slowFailovers: left.slowFailovers + right.slowFailovers,
        longestFailoverMs: Math.max(left.longestFailoverMs, right.longestFailoverMs),
    };
}

function addByCause(
    left: Readonly<Record<string, number>>,
    right: Readonly<Record<string, number>>,
): Readonly<Record<string, number>> {
    const sum: Record<string, number> = { ...left };
    for (const [cause, count] of Object.entries(right)) {
        sum[cause] = (sum[cause] ?? 0) + count;
    }
    return sum;
}
