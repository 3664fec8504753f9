/** A point in a group's log. Numbers rise through all terms; a promotion may drop the last numbers of its predecessor. */
export interface LogPosition {
    readonly term: number;
    readonly number: number;
}

/** Orders positions by term, then by number: whatever a later term kept of an earlier one lies before it. */
export function compareLogPositions(left: LogPosition, right: LogPosition): number {
    return left.term - right.term || left.number - right.number;
}

/** The later of two positions, of which either may be unknown. */
export function laterLogPosition(
    left: LogPosition | undefined,
    right: LogPosition | undefined,
): LogPosition | undefined {
    if (left === undefined || right === undefined) {
        return left ?? right;
    }
    return compareLogPositions(left, right) >= 0 ? left : right;
}
