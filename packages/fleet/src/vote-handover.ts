import { LeaveState } from "@medlarledge/control";
import type { Clock } from "@medlarledge/runtime";

/** Interval of requests to the leader while it hands over the vote. */
const REQUEST_INTERVAL_MS = 50;

/** Without an answer of a leader for this long nothing is handed over; all control hosts may be stopping. */
const UNANSWERED_LIMIT_MS = 1_000;

/** How the request of a control host to leave its group ended. */
export interface HandoverEnd {
    /** `unanswered`: no leader answered. `timeout`: the successor was not ready in time. */
    readonly outcome: typeof LeaveState.Left | typeof LeaveState.Unneeded | "unanswered" | "timeout";
    readonly tookMs: number;
}

/**
 * Requests that this member's vote is handed to another control host, until that is done or nobody can take it.
 * @param request asks the leader once; undefined when no leader answered
 * @param limitMs time limit
 */
export async function handOverVote(
    request: () => Promise<LeaveState | undefined>,
    clock: Clock,
    limitMs: number,
): Promise<HandoverEnd> {
    const startedAt = clock.now();
    let answeredAt = startedAt;
    const ended = (outcome: HandoverEnd["outcome"]): HandoverEnd => ({ outcome, tookMs: clock.now() - startedAt });
    while (clock.now() - startedAt < limitMs) {
        const state = await request();
        if (state === LeaveState.Left || state === LeaveState.Unneeded) {
            return ended(state);
        }
        answeredAt = state === undefined ? answeredAt : clock.now();
        if (clock.now() - answeredAt >= UNANSWERED_LIMIT_MS) {
            return ended("unanswered");
        }
        await new Promise(resolve => setTimeout(resolve, REQUEST_INTERVAL_MS));
    }
    return ended("timeout");
}
