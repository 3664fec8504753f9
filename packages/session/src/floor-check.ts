import type { Floor, Position, Term, TermRecord } from "@medlarledge/protocol";

/** Whether the log up to a read floor survived the failovers of later terms. */
export type FloorCheck =
    /** It survived: any endpoint of the current lineage that has reached `position` satisfies the floor. */
    | { readonly kind: "holds"; readonly position: Position; }
    /** The session restarts at `term` and `position`; the log of its term survived only up to `survivedUpTo`. */
    | {
        readonly kind: "lost";
        readonly term: Term;
        readonly position: Position;
        readonly survivedUpTo: Position;
    }
    /** The term is newer than this host's view: the request waits for a newer view. */
    | { readonly kind: "unknownTerm"; readonly term: Term; };

interface StartedTerm extends TermRecord {
    readonly start: Position;
}

/**
 * Compares a floor with the start positions of all later terms. A term that has begun but not started discards nothing
 * yet: its start is unknown until the promotion ends, and reads on the former lineage continue until then. When the
 * history no longer contains the term after the floor's, survival cannot be proved and the floor counts as lost.
 */
export function checkFloor(terms: readonly TermRecord[], floor: Floor): FloorCheck {
    const current = terms.at(-1);
    if (current === undefined || floor.term > current.term) {
        return { kind: "unknownTerm", term: floor.term };
    }
    if (floor.term === current.term) {
        // Floors are only created in started terms, so another host has a newer view of this term.
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
 * Returns true when a server at this timeline and position holds only log of the current lineage. A timeline that the
 * history does not contain is not on it: its fork point is unknown.
 */
export function isOnLineage(terms: readonly TermRecord[], timeline: number, position: Position): boolean {
    const started = terms.filter(isStarted);
    const first = started.find(term => term.timeline === timeline);
    if (first === undefined) {
        return false;
    }
    // Two servers promoted independently can choose the same timeline number, so its first use decides.
    return position <= lowestFork(started, first.term);
}

/** Returns the lowest position at which a later term forked from the log of this term; infinite when none did. */
function lowestFork(started: readonly StartedTerm[], term: Term): Position {
    let fork = Infinity;
    for (const [index, record] of started.entries()) {
        const former = started[index - 1];
        if (record.term > term && !continuesLog(former, record)) {
            fork = Math.min(fork, record.start);
        }
    }
    return fork;
}

/** Returns true when the same primary was chosen again without a promotion: it continues the same log. */
function continuesLog(former: StartedTerm | undefined, next: StartedTerm): boolean {
    return former !== undefined && former.primary === next.primary && former.timeline === next.timeline;
}

function isStarted(term: TermRecord): term is StartedTerm {
    return term.start !== undefined;
}
