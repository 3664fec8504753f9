import { type EventOf, eventsOf, type HistoryEvent } from "./history.js";

/**
 * Invariant 1: a read returns every row of the session's floor, or every row older than its stated age. Without
 * `durable`, a row that a failover lost is older than no age: the new primary never had it.
 */
export function checkSessions(history: readonly HistoryEvent[], durable: boolean): readonly string[] {
    const end = durable ? undefined : eventsOf(history, "end").at(-1);
    const kept = end && new Set(end.rows);
    const found: string[] = [];
    const acknowledged: EventOf<"writeAnswered">[] = [];
    const seen = new Map<string, { readonly at: number; readonly rows: readonly string[]; }[]>();
    for (const event of history) {
        if (event.kind === "writeAnswered" && event.outcome === "done") {
            if (kept?.has(event.row) !== false) {
                acknowledged.push(event);
            }
            append(seen, event.session, { at: event.at, rows: [event.row] });
        }
        else if (event.kind === "lossTold") {
            seen.delete(event.session);
        }
        else if (event.kind === "readAnswered") {
            const floor = event.ageMs === undefined
                ? (seen.get(event.session) ?? []).filter(({ at }) => at < event.sentAt).flatMap(({ rows }) => rows)
                : olderThan(acknowledged, event.sentAt - event.ageMs);
            const rows = new Set(event.rows);
            const missing = [...new Set(floor)].filter(row => !rows.has(row));
            if (missing.length > 0) {
                found.push(`${event.session} at ${event.at} does not see ${missing.slice(0, 3).join(", ")}`);
            }
            if (event.ageMs === undefined) {
                append(seen, event.session, { at: event.at, rows: event.rows });
            }
        }
    }
    return found;
}

/** Invariant 2: no acknowledgement under a term after a later one started, and no acknowledged row is lost. */
export function checkOldPrimary(history: readonly HistoryEvent[], durable: boolean): readonly string[] {
    const starts = eventsOf(history, "termStarted");
    const done = eventsOf(history, "writeAnswered").filter(({ outcome }) => outcome === "done");
    const late = done.flatMap(({ row, term, at }) => {
        const later = starts.find(start => term !== undefined && start.term > term && start.at < at);
        return later === undefined
            ? []
            : [`${row} acknowledged at ${at} under term ${term}; ${later.term} started at ${later.at}`];
    });
    const end = eventsOf(history, "end").at(-1);
    if (end === undefined || !durable) {
        return late;
    }
    const rows = new Set(end.rows);
    const lost = done.filter(({ row }) => !rows.has(row)).map(({ row, at }) => `${row} acknowledged at ${at} is lost`);
    return [...late, ...lost];
}

/** Invariant 3: what an endpoint commits together is exactly what one caller sent together. */
export function checkTransactions(history: readonly HistoryEvent[]): readonly string[] {
    const sent = new Set(eventsOf(history, "transactionSent").map(({ rows }) => rows.join()));
    return eventsOf(history, "committed")
        .filter(({ rows }) => !sent.has(rows.join()))
        .map(({ endpoint, rows, at }) => `${endpoint} committed ${rows.join(", ")} together at ${at}`);
}

/** Invariant 4: every answer belongs to the caller's own request and is complete. */
export function checkAnswers(history: readonly HistoryEvent[]): readonly string[] {
    return eventsOf(history, "answer")
        .filter(({ expected, received, complete }) => expected !== received || !complete)
        .map(({ session, expected, received, complete, at }) =>
            `${session} at ${at} expected ${expected}, received ${received}${complete ? "" : " incompletely"}`
        );
}

/** Invariant 5: no endpoint ran a write reported as not run, nor committed one reported as rolled back. */
export function checkRefusals(history: readonly HistoryEvent[]): readonly string[] {
    const executed = new Set(eventsOf(history, "executed").map(({ row }) => row));
    const committed = new Set(eventsOf(history, "committed").flatMap(({ rows }) => rows));
    return eventsOf(history, "writeAnswered").flatMap(({ row, outcome, at }) => {
        if (outcome === "notRun" && executed.has(row)) {
            return [`${row} was reported as not run at ${at} but ran`];
        }
        return outcome === "rolledBack" && committed.has(row)
            ? [`${row} was reported as rolled back at ${at} but was committed`]
            : [];
    });
}

/** Invariant 6: no endpoint runs a write that another one, or it itself, ran already. */
export function checkRepeats(history: readonly HistoryEvent[]): readonly string[] {
    const first = new Map<string, EventOf<"executed">>();
    const found: string[] = [];
    for (const event of eventsOf(history, "executed")) {
        const former = first.get(event.row);
        if (former === undefined) {
            first.set(event.row, event);
        }
        else {
            found.push(
                `${event.row} ran on ${former.endpoint} at ${former.at} and on ${event.endpoint} at ${event.at}`,
            );
        }
    }
    return found;
}

function olderThan(acknowledged: readonly EventOf<"writeAnswered">[], limit: number): readonly string[] {
    return acknowledged.filter(({ at }) => at < limit).map(({ row }) => row);
}

function append<K, V>(map: Map<K, V[]>, key: K, value: V): void {
    const list = map.get(key);
    if (list === undefined) {
        map.set(key, [value]);
    }
    else {
        list.push(value);
    }
}
