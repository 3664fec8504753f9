import type { Pool } from "./pool.js";
import type { Schedule } from "./ports.js";
import type { PositionTracker } from "./position-tracker.js";

const PROBE_MS = 100;

/** Time without any answer after which an endpoint whose connections are all busy needs a probe of another kind. */
const STALL_MS = 300;

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
        const now = this.#options.clock();
        for (const [id, pool] of this.#options.pools) {
            const since = this.#since.get(id);
            if (since !== undefined) {
                this.#unanswered(pool, now - since);
            }
            else if (pool.idle() > 0) {
                this.#read(id, now, minimumAgeMs);
            }
            else if (pool.busy() > 0 && now - pool.lastAnswerAt() >= STALL_MS) {
                // Long statements look the same from here, so this alone is no evidence of silence.
                this.#options.stalled(pool, now - pool.lastAnswerAt());
            }
        }
    }

    /** A change of the view probes at once, so the last probe may have been sent only a moment ago. */
    #unanswered(pool: Pool, forMs: number): void {
        if (forMs >= PROBE_MS) {
            this.#options.silent(pool, forMs);
        }
    }

    #read(id: string, now: number, minimumAgeMs: number): void {
        const readAt = this.#options.positions.readAt(id) ?? Number.NEGATIVE_INFINITY;
        if (now - readAt < minimumAgeMs) {
            return;
        }
        this.#since.set(id, now);
        const started = this.#options.read(id, () => {
            this.#since.delete(id);
        });
        if (!started) {
            this.#since.delete(id);
        }
    }

    #schedule(): () => void {
        return this.#options.schedule(PROBE_MS, () => {
            this.probe(PROBE_MS);
            this.#cancel = this.#schedule();
        });
    }
}
