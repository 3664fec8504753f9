import { Suspicion } from "@medlarledge/protocol";

/** Consecutive missed probes after which an endpoint is considered silent; probes are sent every 100 ms. */
export const MISSED_PROBES = 3;

/** Interval at which a lasting suspicion is reported again, in case the report was lost or the leader changed. */
export const REPEAT_MS = 300;

interface Observation {
    readonly missed: number;
    readonly suspicion: Suspicion;
    readonly reportedAt: number;
}

/** Derives an entry host's suspicions of endpoints from the outcomes of its statements and probes. */
export class EndpointObserver {
    readonly #observations = new Map<string, Observation>();

    /** Records an outcome. Returns the suspicion to report to the leader, or undefined if no report is due. */
    recordOutcome(endpoint: string, outcome: "ok" | "closed" | "timeout", now: number): Suspicion | undefined {
        const known = this.#observations.get(endpoint)
            ?? { missed: 0, suspicion: Suspicion.Reachable, reportedAt: Number.NEGATIVE_INFINITY };
        const missed = outcome === "timeout" ? known.missed + 1 : 0;
        const suspicion = nextSuspicion(known.suspicion, outcome, missed);
        const changed = suspicion !== known.suspicion;
        const repeated = suspicion !== Suspicion.Reachable && now - known.reportedAt >= REPEAT_MS;
        const reportedAt = changed || repeated ? now : known.reportedAt;
        this.#observations.set(endpoint, { missed, suspicion, reportedAt });
        return changed || repeated ? suspicion : undefined;
    }

    /** The current suspicion; after a new probe it is the reply to `confirmEndpoint`. */
    current(endpoint: string): Suspicion {
        return this.#observations.get(endpoint)?.suspicion ?? Suspicion.Reachable;
    }

    /** Removes an endpoint that is no longer used. */
    forget(endpoint: string): void {
        this.#observations.delete(endpoint);
    }
}

function nextSuspicion(known: Suspicion, outcome: "ok" | "closed" | "timeout", missed: number): Suspicion {
    if (outcome === "ok") {
        return Suspicion.Reachable;
    }
    if (outcome === "closed") {
        return Suspicion.Closed;
    }
    if (missed >= MISSED_PROBES) {
        return Suspicion.Silent;
    }
    return known;
}
