/**
 * A position in a group's log. Numbers increase across terms; a promotion may discard the last entries of the former
 * primary, so that their numbers are used again.
 */
export interface LogPosition {
    readonly term: number;
    readonly number: number;
}

/** Compares by term, then by number: entries of an earlier term that a later term retained precede the later term. */
export function compareLogPositions(left: LogPosition, right: LogPosition): number {
    return left.term - right.term || left.number - right.number;
}

/** Returns the later of two positions, of which either may be unknown. */
export function laterLogPosition(
    left: LogPosition | undefined,
    right: LogPosition | undefined,
): LogPosition | undefined {
    if (left === undefined || right === undefined) {
        return left ?? right;
    }
    return compareLogPositions(left, right) >= 0 ? left : right;
}
