import type { Pool } from "./pool.js";
import type { Schedule } from "./ports.js";
import type { PositionTracker } from "./position-tracker.js";

const PROBE_INTERVAL_MS = 100;

/** Time without any answer after which an endpoint whose connections are all busy needs a probe of another kind. */
const STALL_THRESHOLD_MS = 300;

export interface EndpointProberOptions {
    readonly pools: ReadonlyMap<string, Pool>;
    readonly positions: PositionTracker;
    readonly clock: () => number;
    readonly schedule: Schedule;
    /** Returns false when no reading can be started at present. */
    readonly read: (endpoint: string, done: () => void) => boolean;
    readonly silent: (pool: Pool, forMs: number) => void;
    /** No connection is idle and none has answered for `forMs`. */
    readonly stalled: (pool: Pool, forMs: number) => void;
}

/** Reads the position of each endpoint whose position no other answer told lately, over idle connections. */
export class EndpointProber {
    readonly #options: EndpointProberOptions;
    /** When the probe that is not yet answered was sent, by endpoint. */
    readonly #pendingSince = new Map<string, number>();
    #cancel: () => void;

    constructor(options: EndpointProberOptions) {
        this.#options = options;
        this.#cancel = this.#schedule();
    }

    stop(): void {
        this.#cancel();
    }

    /** Reads now what is older than `minimumAgeMs`. */
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
                // Long statements look the same from here, so this alone is no evidence of silence.
                this.#options.stalled(pool, now - pool.lastAnswerAt());
            }
        }
    }

    /** A change of the view probes at once, so the last probe may have been sent only a moment ago. */
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
