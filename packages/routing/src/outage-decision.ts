/**
 * Time from the loss of a primary to the first statement on its successor: silence shows after 300 ms, control decides
 * within 100 ms, and the platforms' promotions take up to 600 ms.
 */
const FAILOVER_MS = 1_100;

/** Time from the order of a promotion to the first statement on the new primary. */
const PROMOTION_MS = 650;

/** Time in which this host asks the endpoints that may lead; some round trips. */
const SEARCH_MS = 60;

/** A caller is asked to come back after this time when nothing tells how long the outage will last. */
const UNKNOWN_RETRY_MS = 500;

/** What is known of an outage. */
export interface Outage {
    /** Undefined while the first endpoint is still looked for. */
    readonly lostAt: number | undefined;
    /** When control last ordered a promotion. */
    readonly orderedAt: number | undefined;
    /** An endpoint that may lead can be asked. */
    readonly hasCandidate: boolean;
}

export type OutageDecision =
    /** A place is expected before the request gives up. */
    | { readonly kind: "wait"; }
    | { readonly kind: "refuse"; readonly retryAfterMs: number; };

/** How long a request has waited and may wait, in ms; the present time on the same clock. */
export interface WaitLimit {
    readonly waitedMs: number;
    readonly giveUpAt: number;
    readonly now: number;
}

/** Decides what becomes of a request that no endpoint can serve now. Nothing of it has run. */
export function decideDuringOutage(
    { lostAt, orderedAt, hasCandidate }: Outage,
    { waitedMs, giveUpAt, now }: WaitLimit,
): OutageDecision {
    const isSearched = lostAt !== undefined && now - lostAt >= SEARCH_MS
        && (!hasCandidate || waitedMs >= SEARCH_MS);
    if (!isSearched) {
        return { kind: "wait" };
    }
    const isOrdered = orderedAt !== undefined && orderedAt + PROMOTION_MS > now;
    const expectedAt = isOrdered ? orderedAt + PROMOTION_MS : lostAt + FAILOVER_MS;
    if (expectedAt <= now) {
        return { kind: "refuse", retryAfterMs: UNKNOWN_RETRY_MS };
    }
    return expectedAt <= giveUpAt ? { kind: "wait" } : { kind: "refuse", retryAfterMs: Math.ceil(expectedAt - now) };
}
