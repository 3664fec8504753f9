/**
 * A byte offset in an endpoint's write-ahead log (a PostgreSQL LSN).
 * Exact up to 2^53 bytes (8 PiB) of log per database.
 */
export type Position = number;

/** Number of a term: incremented with every change of the primary of a database. */
export type Term = number;

/** Read floor: minimum term and log position that the reads of a session must see. */
export interface Floor {
    readonly term: Term;
    readonly position: Position;
}

/** Orders two floors by term, then by position. */
export function compareFloors(left: Floor, right: Floor): number {
    return left.term - right.term || left.position - right.position;
}

/** Parses PostgreSQL's `high/low` hexadecimal form. Returns undefined for text of any other form. */
export function parsePosition(text: string): Position | undefined {
    const match = /^([0-9A-Fa-f]{1,8})\/([0-9A-Fa-f]{1,8})$/.exec(text);
    if (match === null) {
        return undefined;
    }
    const [, high = "", low = ""] = match;
    return parseInt(high, 16) * 0x1_0000_0000 + parseInt(low, 16);
}

/** Formats a position in PostgreSQL's `high/low` hexadecimal form. */
export function formatPosition(position: Position): string {
    const high = Math.floor(position / 0x1_0000_0000);
    const low = position % 0x1_0000_0000;
    return `${high.toString(16).toUpperCase()}/${low.toString(16).toUpperCase()}`;
}
