/**
 * Time from the loss of a primary to the first statement on its successor: missing answers are detected after 300 ms,
 * control decides within 100 ms, and the platforms' promotions take up to 600 ms.
 */
const FAILOVER_MS = 1_100;

/** Time in which this host probes the endpoints that may be the primary; some round trips. */
const PRIMARY_SEARCH_MS = 60;

/** Retry delay given to a caller when the end of the outage cannot be estimated. */
const DEFAULT_RETRY_AFTER_MS = 500;

/** Known facts about an outage of a group's primary or replicas. */
export interface Outage {
    /** Start of the outage; undefined until an endpoint has been available for the first time. */
    readonly lostAt: number | undefined;
    /** Time at which control last ordered a promotion. */
    readonly orderedAt: number | undefined;
    /** Expected time from an order to the first statement on the new primary, in ms. */
    readonly promotionMs: number;
    /** Whether an endpoint that may be the primary can be probed. */
    readonly hasCandidate: boolean;
}

export type OutageDecision =
    /** An endpoint is expected to be available before the request's wait limit. */
    | { readonly kind: "wait"; }
    | { readonly kind: "refuse"; readonly retryAfterMs: number; };

/** How long a request has waited and until when it may wait, in ms; `now` is read from the same clock. */
export interface WaitLimit {
    readonly waitedMs: number;
    readonly giveUpAt: number;
    readonly now: number;
}

/** Decides whether a request that no endpoint can serve now waits or is refused. Nothing of it has run. */
export function decideDuringOutage(
    { lostAt, orderedAt, promotionMs, hasCandidate }: Outage,
    { waitedMs, giveUpAt, now }: WaitLimit,
): OutageDecision {
    const isSearchComplete = lostAt !== undefined && now - lostAt >= PRIMARY_SEARCH_MS
        && (!hasCandidate || waitedMs >= PRIMARY_SEARCH_MS);
    if (!isSearchComplete) {
        return { kind: "wait" };
    }
    const isPromoting = orderedAt !== undefined && orderedAt + promotionMs > now;
    const expectedAt = isPromoting ? orderedAt + promotionMs : lostAt + FAILOVER_MS;
    if (expectedAt <= now) {
        return { kind: "refuse", retryAfterMs: DEFAULT_RETRY_AFTER_MS };
    }
    return expectedAt <= giveUpAt ? { kind: "wait" } : { kind: "refuse", retryAfterMs: Math.ceil(expectedAt - now) };
}
