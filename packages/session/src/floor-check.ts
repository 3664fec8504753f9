import type { Floor, Position, Term, TermRecord } from "@medlarledge/protocol";

/** Whether a floor still holds under the terms that followed it. */
export type FloorCheck =
    /** The position to reach on any endpoint of the current lineage. */
    | { readonly kind: "holds"; readonly position: Position; }
    /** The session restarts at `term` and `position`; its own log survived only up to `survivedUpTo`. */
    | {
        readonly kind: "lost";
        readonly term: Term;
        readonly position: Position;
        readonly survivedUpTo: Position;
    }
    /** Newer than this host's view: wait for the view. */
    | { readonly kind: "unknownTerm"; readonly term: Term; };

interface StartedTerm extends TermRecord {
    readonly start: Position;
}

/**
 * Compares a floor with the starts of all later terms. A term begun but not started cuts nothing yet: its start is
 * unknown until the promotion ends, and reads on the former lineage continue until then. When the history no longer
 * holds the term after the floor's, survival cannot be proved and the floor counts as lost.
 */
export function checkFloor(terms: readonly TermRecord[], floor: Floor): FloorCheck {
    const current = terms.at(-1);
    if (current === undefined || floor.term > current.term) {
        return { kind: "unknownTerm", term: floor.term };
    }
    if (floor.term === current.term) {
        // A floor is only ever made under a started term, so another host has a newer view of this term.
        return current.start === undefined
            ? { kind: "unknownTerm", term: floor.term }
            : { kind: "holds", position: floor.position };
    }
    return checkOlder(terms, floor);
}

function checkOlder(terms: readonly TermRecord[], floor: Floor): FloorCheck {
    const oldest = terms[0];
    const started = terms.filter(isStarted);
    const newest = started.at(-1);
    if (oldest !== undefined && newest !== undefined && floor.term < oldest.term - 1) {
        return { kind: "lost", term: newest.term, position: newest.start, survivedUpTo: 0 };
    }
    const survivedUpTo = lowestFork(started, floor.term);
    if (newest === undefined || floor.position <= survivedUpTo) {
        return { kind: "holds", position: floor.position };
    }
    return { kind: "lost", term: newest.term, position: newest.start, survivedUpTo };
}

/**
 * Tells whether a server at this timeline and position has only log of the current lineage. A timeline that the
 * history does not hold is not on it: its fork point is unknown.
 */
export function isOnLineage(terms: readonly TermRecord[], timeline: number, position: Position): boolean {
    const started = terms.filter(isStarted);
    const first = started.find(term => term.timeline === timeline);
    if (first === undefined) {
        return false;
    }
    // Two servers promoted apart from each other can choose the same number, so the first use of it decides.
    return position <= lowestFork(started, first.term);
}

/** The lowest position at which a later term left the log of this one; infinite when none did. */
function lowestFork(started: readonly StartedTerm[], term: Term): Position {
    let cut = Infinity;
    for (const [index, record] of started.entries()) {
        const former = started[index - 1];
        if (record.term > term && !continuesLog(former, record)) {
            cut = Math.min(cut, record.start);
        }
    }
    return cut;
}

/** A primary that was chosen again without a promotion writes on in the same log. */
function continuesLog(former: StartedTerm | undefined, next: StartedTerm): boolean {
    return former !== undefined && former.primary === next.primary && former.timeline === next.timeline;
}

function isStarted(term: TermRecord): term is StartedTerm {
    return term.start !== undefined;
}
