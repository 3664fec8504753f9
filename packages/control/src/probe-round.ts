import type { EndpointProbeResult, RegisteredEndpoint } from "@medlarledge/protocol";
import type { LeaderContext } from "./leader-context.js";

/** Probe results on which one failover decides. */
export class ProbeRound {
    /** Number of the current round; results of earlier rounds are ignored. */
    #round = 0;
    #results = new Map<string, EndpointProbeResult | undefined>();
    /** Endpoints that did not answer the probe during the revocation; the selection does not wait for them. */
    readonly #unreachable = new Set<string>();

    results(): ReadonlyMap<string, EndpointProbeResult | undefined> {
        return this.#results;
    }

    isAnsweredOrUnreachable(endpoint: string): boolean {
        return this.#results.has(endpoint) || this.#unreachable.has(endpoint);
    }

    /** Probes during the revocation. The results only show which endpoints need not be waited for afterwards. */
    beginEarly(context: LeaderContext, database: string, endpoints: readonly RegisteredEndpoint[]): void {
        for (const { id } of endpoints) {
            context.read(database, id, (_, reading) => {
                if (reading === undefined) {
                    this.#unreachable.add(id);
                }
            });
        }
    }

    /**
     * Starts a round of probes for the selection. Must be called after the revocation, because until its end a write
     * may be acknowledged whose position an earlier probe result does not include.
     */
    begin(
        context: LeaderContext,
        database: string,
        endpoints: readonly RegisteredEndpoint[],
        answered: (context: LeaderContext) => void,
    ): void {
        this.#round++;
        const round = this.#round;
        this.#results = new Map();
        for (const { id } of endpoints) {
            context.read(database, id, (later, reading) => {
                if (this.#round === round) {
                    this.#results.set(id, reading);
                    answered(later);
                }
            });
        }
    }

    forgetUnreachable(): void {
        this.#unreachable.clear();
    }
}
