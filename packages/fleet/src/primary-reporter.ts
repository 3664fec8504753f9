import type { PrimaryState } from "@medlarledge/gateway";
import type { PrimaryReport } from "@medlarledge/protocol";

/** Interval of repeated reports on an unreachable primary, in case a report was lost or control has a new leader. */
const REPEAT_INTERVAL_MS = 400;

interface SentReport {
    readonly state: PrimaryState;
    readonly at: number;
}

/** Decides which reports an entry host sends to control about the primaries that it uses. */
export class PrimaryReporter {
    readonly #reported = new Map<string, SentReport>();

    /** Returns the report that is due for a group; undefined when none is. */
    report(group: string, state: PrimaryState, now: number): PrimaryReport | undefined {
        const last = this.#reported.get(group);
        const isRepeat = last !== undefined && last.state.endpoint === state.endpoint && last.state.term === state.term
            && last.state.reachable === state.reachable;
        if (isRepeat && (state.reachable || now - last.at < REPEAT_INTERVAL_MS)) {
            return undefined;
        }
        this.#reported.set(group, { state, at: now });
        return { kind: "primaryReport", group, ...state };
    }

    /** Makes all reports due again, for a newly connected control host. */
    clear(): void {
        this.#reported.clear();
    }
}
