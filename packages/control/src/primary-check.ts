import type { EndpointRecord } from "@medlarledge/protocol";
import { comparePositions, type ProbedPosition } from "./safe-successor.js";

/** Interval between two rounds. An order that may be carried out late is as dangerous in each of them. */
export const PRIMARY_CHECK_INTERVAL_MS = 500;

/** Result of probing an endpoint: the last log position that it received, ordered by term, then by number. */
export interface MonitorProbeResult extends ProbedPosition {
    /** False when the endpoint was too busy to tell its role. */
    readonly leads: boolean;
}

interface Round {
    readonly number: number;
    readonly primary: string;
    /** Replicas that had left before the primary was probed. */
    readonly departed: readonly EndpointRecord[];
    readonly startedAt: number;
    readonly results: Map<string, MonitorProbeResult | undefined>;
}

/** Rounds of probes of a primary that answers and of its replicas. Only results of the present round count. */
export class PrimaryCheck {
    #round: Round | undefined;
    #roundCount = 0;

    /** Ends the check, so that a later one starts at once. */
    end(): void {
        this.#round = undefined;
    }

    isDue(now: number): boolean {
        return this.#round === undefined || now - this.#round.startedAt >= PRIMARY_CHECK_INTERVAL_MS;
    }

    /** Starts a round, in which the primary is probed first. Returns its number. */
    start(primary: string, departed: readonly EndpointRecord[], now: number): number {
        this.#roundCount += 1;
        const number = this.#roundCount;
        this.#round = { number, primary, departed, startedAt: now, results: new Map() };
        return number;
    }

    /** Records a result. Returns true when the endpoint is the primary, and answered for the first time that it leads. */
    answered(number: number, endpoint: string, result: MonitorProbeResult | undefined): boolean {
        const round = this.#round;
        if (round?.number !== number || round.results.has(endpoint)) {
            return false;
        }
        round.results.set(endpoint, result);
        return endpoint === round.primary && result?.leads === true && result.isExact;
    }

    /**
     * Returns the departed replicas of the round if `count` others have received all that the primary had after these
     * had left; otherwise none.
     */
    releasable(count: number): readonly EndpointRecord[] {
        const { primary = "", departed = [], results } = this.#round ?? {};
        const position = results?.get(primary);
        if (results === undefined || position === undefined) {
            return [];
        }
        const caughtUp = [...results].filter(([endpoint, result]) =>
            endpoint !== primary && result !== undefined && comparePositions(result, position) >= 0
        );
        return caughtUp.length >= count ? departed : [];
    }
}
