import type { Pool } from "./pool.js";
import type { Schedule } from "./ports.js";
import type { PositionTracker } from "./position-tracker.js";

const PROBE_INTERVAL_MS = 100;

/**
 * Time without any response after which an endpoint whose connections are all busy is reported as stalled: without an
 * idle connection it cannot be probed here and needs a probe of another kind.
 */
const STALL_THRESHOLD_MS = 300;

export interface EndpointProberOptions {
    readonly pools: ReadonlyMap<string, Pool>;
    readonly positions: PositionTracker;
    readonly clock: () => number;
    readonly schedule: Schedule;
    /** Starts a probe. Returns false when none can be started at present. */
    readonly read: (endpoint: string, done: () => void) => boolean;
    readonly silent: (pool: Pool, forMs: number) => void;
    /** Reports that no connection is idle and none has received a response for `forMs`. */
    readonly stalled: (pool: Pool, forMs: number) => void;
}

/** Probes, over idle connections, each endpoint whose position has not been updated recently by other queries. */
export class EndpointProber {
    readonly #options: EndpointProberOptions;
    /** When the pending probe was sent, by endpoint. */
    readonly #pendingSince = new Map<string, number>();
    #cancel: () => void;

    constructor(options: EndpointProberOptions) {
        this.#options = options;
        this.#cancel = this.#schedule();
    }

    stop(): void {
        this.#cancel();
    }

    /**
     * Probes each endpoint whose last position is at least `minAgeMs` old, and reports those that are silent or
     * stalled.
     */
    probe(minAgeMs: number): void {
        const now = this.#options.clock();
        for (const [id, pool] of this.#options.pools) {
            const since = this.#pendingSince.get(id);
            if (since !== undefined) {
                this.#reportUnanswered(pool, now - since);
            }
            else if (pool.idle() > 0) {
                this.#startProbe(id, now, minAgeMs);
            }
            else if (pool.busy() > 0 && now - pool.lastAnswerAt() >= STALL_THRESHOLD_MS) {
                // Long statements cause the same symptom, so this alone does not show that the endpoint is silent.
                this.#options.stalled(pool, now - pool.lastAnswerAt());
            }
        }
    }

    /**
     * Ignores probes younger than one interval: a change of the view probes at once, possibly right after the last
     * probe.
     */
    #reportUnanswered(pool: Pool, forMs: number): void {
        if (forMs >= PROBE_INTERVAL_MS) {
            this.#options.silent(pool, forMs);
        }
    }

    #startProbe(id: string, now: number, minAgeMs: number): void {
        const queriedAt = this.#options.positions.queriedAt(id) ?? Number.NEGATIVE_INFINITY;
        if (now - queriedAt < minAgeMs) {
            return;
        }
        this.#pendingSince.set(id, now);
        const started = this.#options.read(id, () => {
            this.#pendingSince.delete(id);
        });
        if (!started) {
            this.#pendingSince.delete(id);
        }
    }

    #schedule(): () => void {
        return this.#options.schedule(PROBE_INTERVAL_MS, () => {
            this.probe(PROBE_INTERVAL_MS);
            this.#cancel = this.#schedule();
        });
    }
}
