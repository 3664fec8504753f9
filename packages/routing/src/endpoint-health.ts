import type { HealthState } from "./route.js";

export interface HealthOptions {
    /** Consecutive failures or timeouts after which an endpoint is set aside. */
    readonly maxFailures: number;
    /** Latency relative to the median of the peers. */
    readonly latencyRatio: number;
    /** Smallest difference to the peers, so that noise among fast endpoints is no evidence. */
    readonly minLatencyDifferenceMs: number;
    /** Answers needed before latencies are compared. */
    readonly minAnswers: number;
    readonly initialPauseMs: number;
    readonly maxPauseMs: number;
    /** Normal answers in a row that end the probing. */
    readonly requiredTrials: number;
    /** A trial that was never reported back counts as lost after this time. */
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
    /** Undefined while in use. */
    probeAt: number | undefined;
    pauseMs: number;
    trialSince: number | undefined;
    normalTrials: number;
}

/**
 * Sets endpoints of one database aside on evidence and probes them back with growing pauses. One endpoint always
 * stays in use, because when all look bad the cause is more likely elsewhere.
 */
export class EndpointHealth {
    readonly #options: HealthOptions;
    readonly #records = new Map<string, HealthRecord>();

    constructor(options: HealthOptions = HEALTH_OPTIONS) {
        this.#options = options;
    }

    /** States which endpoints there are; those that are gone are forgotten. */
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

    state(endpoint: string, now: number): HealthState {
        const record = this.#records.get(endpoint);
        if (record?.probeAt === undefined) {
            return "ok";
        }
        const trialRuns = record.trialSince !== undefined && now < record.trialSince + this.#options.trialTimeoutMs;
        return now >= record.probeAt && !trialRuns ? "probing" : "setAside";
    }

    /** A request was sent to an endpoint whose state is `probing`. */
    trialStarted(endpoint: string, now: number): void {
        const record = this.#records.get(endpoint);
        if (record?.probeAt !== undefined) {
            record.trialSince = now;
        }
    }

    /** A statement was answered; `latencyMs` is the time of execution, without the wait in queues here. */
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

    /** A statement or connection attempt failed, or went unanswered until its timeout. */
    failed(endpoint: string, now: number): void {
        const record = this.#records.get(endpoint);
        if (record === undefined) {
            return;
        }
        record.failures++;
        const evidence = record.probeAt === undefined
            ? record.failures >= this.#options.maxFailures
            : record.trialSince !== undefined;
        if (evidence) {
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

    /** After endpoints left, the one that is due first comes back when no other is in use. */
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
