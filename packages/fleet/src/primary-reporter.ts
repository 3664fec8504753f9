import type { PrimaryState } from "@medlarledge/gateway";
import type { PrimaryReport } from "@medlarledge/protocol";

/** A primary that does not answer is reported again after this time, for a lost report or a new leader. */
const REPEAT_INTERVAL_MS = 400;

interface SentReport {
    readonly state: PrimaryState;
    readonly at: number;
}

/** Decides what an entry host tells control about the primaries that it uses. */
export class PrimaryReporter {
    readonly #reported = new Map<string, SentReport>();

    /** Returns the report that is due, if one is. */
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

    /** A control host was connected that knows nothing yet. */
    clear(): void {
        this.#reported.clear();
    }
}
