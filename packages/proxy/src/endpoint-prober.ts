import type { Pool } from "./pool.js";
import type { Schedule } from "./ports.js";
import type { PositionTracker } from "./position-tracker.js";

const PROBE_MS = 100;

export interface EndpointProberOptions {
    readonly pools: ReadonlyMap<string, Pool>;
    readonly positions: PositionTracker;
    readonly clock: () => number;
    readonly schedule: Schedule;
    readonly read: (endpoint: string, done: () => void) => void;
    readonly silent: (pool: Pool, forMs: number) => void;
}

/** Reads the position of each endpoint whose position no other answer told lately, over idle connections. */
export class EndpointProber {
    readonly #options: EndpointProberOptions;
    /** When the probe that is not yet answered was sent, by endpoint. */
    readonly #since = new Map<string, number>();
    #cancel: () => void;

    constructor(options: EndpointProberOptions) {
        this.#options = options;
        this.#cancel = this.#schedule();
    }

    stop(): void {
        this.#cancel();
    }

    /** Reads now what is older than `minimumAgeMs`. */
    probe(minimumAgeMs: number): void {
        const { pools, positions, clock, read, silent } = this.#options;
        const now = clock();
        for (const [id, pool] of pools) {
            const since = this.#since.get(id);
            if (since !== undefined) {
                silent(pool, now - since);
                continue;
            }
            // An endpoint all of whose connections run statements may be slow: that is no evidence of silence.
            const readAt = positions.readAt(id) ?? Number.NEGATIVE_INFINITY;
            if (pool.idle() > 0 && now - readAt >= minimumAgeMs) {
                this.#since.set(id, now);
                read(id, () => {
                    this.#since.delete(id);
                });
            }
        }
    }

    #schedule(): () => void {
        return this.#options.schedule(PROBE_MS, () => {
            this.probe(PROBE_MS);
            this.#cancel = this.#schedule();
        });
    }
}
