import type { EndpointProbeResult, RegisteredEndpoint } from "@medlarledge/protocol";
import type { LeaderContext } from "./leader-context.js";

/** The readings that one failover decides on. */
export class EndpointReadings {
    /** Counts rounds; answers to an earlier round do not count. */
    #round = 0;
    #answers = new Map<string, EndpointProbeResult | undefined>();
    /** Endpoints that did not answer the reading made during the revocation: the selection does not wait for them. */
    readonly #unreachable = new Set<string>();

    answers(): ReadonlyMap<string, EndpointProbeResult | undefined> {
        return this.#answers;
    }

    isSettled(endpoint: string): boolean {
        return this.#answers.has(endpoint) || this.#unreachable.has(endpoint);
    }

    /** Reads during the revocation. The answers only show which endpoints need not be waited for afterwards. */
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
     * Reads the positions that decide. This is done after the revocation, because until its end a write may have been
     * acknowledged whose position an earlier reading does not include.
     */
    begin(
        context: LeaderContext,
        database: string,
        endpoints: readonly RegisteredEndpoint[],
        answered: (context: LeaderContext) => void,
    ): void {
        this.#round++;
        const round = this.#round;
        this.#answers = new Map();
        for (const { id } of endpoints) {
            context.read(database, id, (later, reading) => {
                if (this.#round === round) {
                    this.#answers.set(id, reading);
                    answered(later);
                }
            });
        }
    }

    forgetUnreachable(): void {
        this.#unreachable.clear();
    }
}
