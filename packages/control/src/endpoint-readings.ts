import { type EndpointRecord, EndpointState } from "@medlarledge/protocol";
import type { MonitorProbeResult } from "./primary-check.js";
import { comparePositions, type ProbedPosition } from "./safe-successor.js";

const NO_POSITION: ProbedPosition = { term: 0, number: 0, isExact: false };

/** What the endpoints of a group answered when they were probed for the choice of a primary. */
export class EndpointReadings {
    /** Results by endpoint; undefined for one that did not answer. */
    readonly #results = new Map<string, MonitorProbeResult | undefined>();

    /** The results by endpoint, for the choice of a safe successor. */
    get results(): ReadonlyMap<string, MonitorProbeResult | undefined> {
        return this.#results;
    }

    clear(): void {
        this.#results.clear();
    }

    record(endpoint: string, result: MonitorProbeResult | undefined): void {
        this.#results.set(endpoint, result);
    }

    get(endpoint: string): MonitorProbeResult | undefined {
        return this.#results.get(endpoint);
    }

    /** True when the endpoint has answered, or did not answer in time. */
    has(endpoint: string): boolean {
        return this.#results.has(endpoint);
    }

    /** The results with the ids of their endpoints, for logs. */
    describe(): readonly Readonly<Record<string, unknown>>[] {
        return [...this.#results].map(([id, reading]) => ({ id, ...reading }));
    }

    /**
     * The endpoint that leads the newest known term.
     * @param newestTerm the newest term of which a host has seen the primary
     */
    currentPrimary(candidates: readonly EndpointRecord[], newestTerm: number): string | undefined {
        const leading = candidates.filter(({ id }) =>
            this.get(id)?.leads === true && !this.isFormerPrimary(id, newestTerm)
        );
        return this.sorted(leading)[0]?.id;
    }

    /** Returns true when an endpoint still takes itself for the primary of an older term than the newest known one. */
    isFormerPrimary(endpoint: string, newestTerm: number): boolean {
        const probed = [...this.#results.values()].map(result => result?.term ?? 0);
        const reading = this.get(endpoint);
        return reading?.leads === true && reading.term < Math.max(newestTerm, ...probed);
    }

    /** Sorts the newest position first. Of equal ones an endpoint that stays, and one that told it exactly, is better. */
    sorted(endpoints: readonly EndpointRecord[]): readonly EndpointRecord[] {
        return [...endpoints].sort((left, right) => {
            const first = this.get(left.id) ?? NO_POSITION;
            const second = this.get(right.id) ?? NO_POSITION;
            return comparePositions(second, first)
                || Number(right.state === EndpointState.Active) - Number(left.state === EndpointState.Active)
                || Number(second.isExact) - Number(first.isExact)
                || (left.id < right.id ? -1 : 1);
        });
    }
}
