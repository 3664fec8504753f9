import type { HealthState } from "./route.js";

export interface HealthOptions {
    /** Number of consecutive failures or timeouts at which an endpoint is set aside. */
    readonly maxFailures: number;
    /** Latency relative to the median of the other endpoints above which an endpoint is slow. */
    readonly latencyRatio: number;
    /** Minimum difference to that median, so that noise among fast endpoints does not count as slowness. */
    readonly minLatencyDifferenceMs: number;
    /** Number of answers before latencies are compared. */
    readonly minAnswers: number;
    readonly initialPauseMs: number;
    readonly maxPauseMs: number;
    /** Consecutive normal answers that end the probing. */
    readonly requiredTrials: number;
    /** A trial without a reported result counts as lost after this time. */
    readonly trialTimeoutMs: number;
}

export const HEALTH_OPTIONS: HealthOptions = {
    maxFailures: 3,
    latencyRatio: 5,
    minLatencyDifferenceMs: 20,
    minAnswers: 16,
    initialPauseMs: 1_000,
    maxPauseMs: 60_000,
    requiredTrials: 3,
    trialTimeoutMs: 5_000,
};

// Weight of one answer: after 16 answers the average holds 88 % of a change.
const AVERAGE_WEIGHT = 1 / 8;

interface HealthRecord {
    latencyMs: number;
    answers: number;
    failures: number;
    /** Time from which the endpoint may be probed; undefined while it is in use. */
    probeAt: number | undefined;
    pauseMs: number;
    trialSince: number | undefined;
    normalTrials: number;
}

/**
 * Excludes slow or failing endpoints of one database ("set aside") and probes them after growing pauses until they have
 * recovered. One endpoint always stays in use, because when all seem unhealthy the cause is more likely elsewhere.
 */
export class EndpointHealth {
    readonly #options: HealthOptions;
    readonly #records = new Map<string, HealthRecord>();

    constructor(options: HealthOptions = HEALTH_OPTIONS) {
        this.#options = options;
    }

    /** Sets the endpoints of the database and discards the state of removed ones. */
    setEndpoints(endpoints: readonly string[]): void {
        for (const id of this.#records.keys()) {
            if (!endpoints.includes(id)) {
                this.#records.delete(id);
            }
        }
        for (const id of endpoints) {
            if (!this.#records.has(id)) {
                this.#records.set(id, newRecord(this.#options.initialPauseMs));
            }
        }
        this.#ensureOneInUse();
    }

    /** Returns the health of an endpoint; unknown endpoints count as healthy. */
    state(endpoint: string, now: number): HealthState {
        const record = this.#records.get(endpoint);
        if (record?.probeAt === undefined) {
            return "ok";
        }
        const trialRuns = record.trialSince !== undefined && now < record.trialSince + this.#options.trialTimeoutMs;
        return now >= record.probeAt && !trialRuns ? "probing" : "setAside";
    }

    /** Records that a request was sent to an endpoint whose state is `probing`. */
    trialStarted(endpoint: string, now: number): void {
        const record = this.#records.get(endpoint);
        if (record?.probeAt !== undefined) {
            record.trialSince = now;
        }
    }

    /** Records an answer; `latencyMs` is the execution time, without the wait in local queues. */
    answered(endpoint: string, latencyMs: number, now: number): void {
        const record = this.#records.get(endpoint);
        if (record === undefined) {
            return;
        }
        record.failures = 0;
        if (record.probeAt !== undefined) {
            // Statements sent before the endpoint was set aside are no trials and must not lengthen its pause.
            if (record.trialSince !== undefined) {
                this.#trialAnswered(endpoint, record, latencyMs, now);
            }
            return;
        }
        record.answers++;
        record.latencyMs += (latencyMs - record.latencyMs) * Math.max(AVERAGE_WEIGHT, 1 / record.answers);
        if (record.answers >= this.#options.minAnswers && this.#isSlow(endpoint, record.latencyMs)) {
            this.#setAside(endpoint, record, now);
        }
    }

    /** Records a failed statement or connection attempt, or one that timed out. */
    failed(endpoint: string, now: number): void {
        const record = this.#records.get(endpoint);
        if (record === undefined) {
            return;
        }
        record.failures++;
        const isUnhealthy = record.probeAt === undefined
            ? record.failures >= this.#options.maxFailures
            : record.trialSince !== undefined;
        if (isUnhealthy) {
            this.#setAside(endpoint, record, now);
        }
    }

    #trialAnswered(endpoint: string, record: HealthRecord, latencyMs: number, now: number): void {
        if (this.#isSlow(endpoint, latencyMs)) {
            this.#setAside(endpoint, record, now);
            return;
        }
        record.trialSince = undefined;
        record.normalTrials++;
        if (record.normalTrials >= this.#options.requiredTrials) {
            this.#records.set(endpoint, { ...newRecord(record.pauseMs), latencyMs });
        }
    }

    #setAside(endpoint: string, record: HealthRecord, now: number): void {
        const others = [...this.#records].filter(([id, other]) => id !== endpoint && other.probeAt === undefined);
        if (record.probeAt === undefined && others.length === 0) {
            return;
        }
        record.probeAt = now + record.pauseMs;
        record.pauseMs = Math.min(record.pauseMs * 2, this.#options.maxPauseMs);
        record.trialSince = undefined;
        record.normalTrials = 0;
    }

    #isSlow(endpoint: string, latencyMs: number): boolean {
        // No median is below 0: a fast answer needs no comparison.
        if (latencyMs <= this.#options.minLatencyDifferenceMs) {
            return false;
        }
        const peers = [...this.#records]
            .filter(([id, other]) => id !== endpoint && other.answers > 0 && other.probeAt === undefined)
            .map(([, other]) => other.latencyMs)
            .sort((left, right) => left - right);
        const median = peers[Math.floor((peers.length - 1) / 2)];
        return median !== undefined && latencyMs > median * this.#options.latencyRatio
            && latencyMs > median + this.#options.minLatencyDifferenceMs;
    }

    /** Returns the endpoint with the earliest probe to use when the removal of others left none in use. */
    #ensureOneInUse(): void {
        const records = [...this.#records.values()];
        if (records.some(record => record.probeAt === undefined)) {
            return;
        }
        const first = records.sort((left, right) => (left.probeAt ?? 0) - (right.probeAt ?? 0))[0];
        if (first !== undefined) {
            first.probeAt = undefined;
            first.failures = 0;
        }
    }
}

function newRecord(pauseMs: number): HealthRecord {
    return {
        latencyMs: 0,
        answers: 0,
        failures: 0,
        probeAt: undefined,
        pauseMs,
        trialSince: undefined,
        normalTrials: 0,
    };
}
