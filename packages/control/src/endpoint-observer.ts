import { Suspicion } from "@medlarledge/protocol";

/** Missed probes in a row after which an endpoint counts as silent; probes are 100 ms apart. */
export const MISSED_PROBES = 3;

/** A lasting suspicion is reported again after this time, for a lost report or a new leader. */
export const REPEAT_MS = 300;

interface Observation {
    readonly missed: number;
    readonly suspicion: Suspicion;
    readonly reportedAt: number;
}

/** The entry host's side of suspicion. Answers to statements and answers to probes count alike. */
export class EndpointObserver {
    readonly #observations = new Map<string, Observation>();

    /** Returns what to report to the leader, or undefined when nothing is to be reported now. */
    recordOutcome(endpoint: string, outcome: "ok" | "closed" | "timeout", now: number): Suspicion | undefined {
        const known = this.#observations.get(endpoint)
            ?? { missed: 0, suspicion: Suspicion.Reachable, reportedAt: Number.NEGATIVE_INFINITY };
        const missed = outcome === "timeout" ? known.missed + 1 : 0;
        const suspicion = judge(known.suspicion, outcome, missed);
        const changed = suspicion !== known.suspicion;
        const repeated = suspicion !== Suspicion.Reachable && now - known.reportedAt >= REPEAT_MS;
        const reportedAt = changed || repeated ? now : known.reportedAt;
        this.#observations.set(endpoint, { missed, suspicion, reportedAt });
        return changed || repeated ? suspicion : undefined;
    }

    /** The present judgement, which answers `confirmEndpoint` together with a new probe. */
    current(endpoint: string): Suspicion {
        return this.#observations.get(endpoint)?.suspicion ?? Suspicion.Reachable;
    }

    /** Drops an endpoint that is no longer used. */
    forget(endpoint: string): void {
        this.#observations.delete(endpoint);
    }
}

function judge(known: Suspicion, outcome: "ok" | "closed" | "timeout", missed: number): Suspicion {
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
