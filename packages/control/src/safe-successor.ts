/** Position in an endpoint's log that a probe found. */
export interface ProbedPosition {
    readonly term: number;
    readonly number: number;
    /**
     * False when the endpoint was too busy to tell its newest position: it has received at least this one, perhaps more.
     */
    readonly isExact: boolean;
}

/** Negative when the log of the first position is shorter, 0 when both are equal. */
export function comparePositions(left: ProbedPosition, right: ProbedPosition): number {
    return left.term - right.term || left.number - right.number;
}

/**
 * Returns the replicas that are known to have every acknowledged commit. A commit is acknowledged once `syncReplicas`
 * replicas have received it, so each one is on at least one of any `replicas.length - syncReplicas + 1` replicas. A
 * replica whose log reaches as far as the logs of that many, its own included, has them all.
 * @param replicas ids of all replicas that may have received commits, also of those that do not answer
 */
export function safeSuccessors(
    replicas: readonly string[],
    positions: ReadonlyMap<string, ProbedPosition | undefined>,
    syncReplicas: number,
): readonly string[] {
    const needed = Math.max(1, replicas.length - syncReplicas + 1);
    return replicas.filter(id => {
        const own = positions.get(id);
        if (own === undefined) {
            return false;
        }
        const covered = replicas.filter(other => {
            const position = positions.get(other);
            return other === id || (position?.isExact === true && comparePositions(position, own) <= 0);
        });
        return covered.length >= needed;
    });
}
