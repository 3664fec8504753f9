import type { LoadReport } from "@medlarledge/statements";
import type { EndpointLoad } from "./endpoint-load.js";
import { TypicalTime } from "./typical-time.js";

/** Half-life of the weight of an observation: an endpoint that becomes slow or recovers is noticed within a second. */
const HALF_LIFE_MS = 400;

/** Weight of one answer in the average of the time on the way. */
const TRIP_WEIGHT = 1 / 8;

/** Weight of one result in the share of failed results. */
const FAILURE_WEIGHT = 1 / 8;

/** Half-life of the share of failures without results, after which the endpoint is tried again with more requests. */
const FAILURE_HALF_LIFE_MS = 3_000;

/** Weight of a new report in the share of failed results; a report covers many results. */
const REPORTED_FAILURE_WEIGHT = 1 / 2;

/** Shares of failures from which an endpoint is reported as failing, and below which as recovered. */
const FAILING_SHARE = 0.3;
const RECOVERED_SHARE = 0.1;

/** Maximum weight of the reports; more reports than this make the estimate react too slowly. */
const MAX_REPORT_WEIGHT = 4;

/** Ages above this are reported as this; such a report has no weight. */
const MAX_REPORTED_AGE_MS = 60_000;

/** Combines what this host observes of one endpoint with the age-discounted reports of other hosts. */
export class LoadEstimate {
    readonly #own: EndpointLoad;
    readonly #typical = new TypicalTime();
    /** Typical duration in the reports; meaningful while the weight is above 0. */
    #reportedMs = 0;
    #weight = 0;
    #weightAt = 0;
    /** Time that orders take beyond the durations in the reports, for the way to the reporting hosts and back. */
    #tripMs = 0;
    #failureShare = 0;
    #failureShareAt = 0;
    #reportedAt: number | undefined;
    #isFailing = false;

    constructor(own: EndpointLoad) {
        this.#own = own;
    }

    /** Records the report of another host, which arrived with the answer to an order that took `tookMs`. */
    reported({ typicalMs, failureShare, ageMs }: LoadReport, tookMs: number, now: number): void {
        // Another version may send other fields; a value that is no number would make all later estimates unusable.
        if (![typicalMs, failureShare, ageMs].every(value => Number.isFinite(value))) {
            return;
        }
        const added = discount(ageMs);
        if (added < Number.EPSILON) {
            return;
        }
        const weight = Math.min(MAX_REPORT_WEIGHT, this.#reportWeight(now));
        this.#reportedMs = (this.#reportedMs * weight + typicalMs * added) / (weight + added);
        this.#weight = weight + added;
        this.#weightAt = now;
        this.#tripMs += (Math.max(0, tookMs - typicalMs) - this.#tripMs) * TRIP_WEIGHT;
        this.#reportedAt = now - ageMs;
        this.#addFailures(failureShare, REPORTED_FAILURE_WEIGHT * added, now);
    }

    /**
     * Records whether an order failed.
     * @param readMs duration of a read; undefined for other orders, since a primary runs a different mix of these and
     * its typical duration could not be compared
     */
    ended(readMs: number | undefined, hasFailed: boolean, now: number): void {
        if (readMs !== undefined) {
            this.#typical.answered(readMs, now);
        }
        this.#addFailures(hasFailed ? 1 : 0, FAILURE_WEIGHT, now);
    }

    /** Share of recent orders that failed or were left unanswered. */
    failureShare(now: number): number {
        return this.#failureShare * 0.5 ** (Math.max(0, now - this.#failureShareAt) / FAILURE_HALF_LIFE_MS);
    }

    /** Expected duration of one more order, in ms. */
    expectedMs(slots: number, now: number): number {
        const reportWeight = this.#reportWeight(now);
        const reported = this.#reportedMs + this.#tripMs;
        const durationMs = (this.#typical.valueMs(now) + reported * reportWeight) / (1 + reportWeight);
        return durationMs * (1 + this.#own.running / Math.max(1, slots));
    }

    /** The report of this host about the endpoint. */
    report(now: number): LoadReport {
        return {
            typicalMs: Math.round(this.#typical.valueMs(now) * 10) / 10,
            failureShare: Math.round(this.failureShare(now) * 100) / 100,
            ageMs: Math.round(Math.min(MAX_REPORTED_AGE_MS, now - this.#typical.answeredAt)),
        };
    }

    /** Age of the newest report of another host; undefined before the first. */
    reportAgeMs(now: number): number | undefined {
        return this.#reportedAt === undefined ? undefined : now - this.#reportedAt;
    }

    /** Returns whether the endpoint counts as failing when this has changed, and undefined otherwise. */
    updateFailing(now: number): boolean | undefined {
        const share = this.failureShare(now);
        const isFailing = share > (this.#isFailing ? RECOVERED_SHARE : FAILING_SHARE);
        if (isFailing === this.#isFailing) {
            return undefined;
        }
        this.#isFailing = isFailing;
        return isFailing;
    }

    #reportWeight(now: number): number {
        return this.#weight * discount(now - this.#weightAt);
    }

    #addFailures(share: number, weight: number, now: number): void {
        const former = this.failureShare(now);
        this.#failureShare = former + (share - former) * weight;
        this.#failureShareAt = now;
    }
}

function discount(ageMs: number): number {
    return 0.5 ** (Math.max(0, ageMs) / HALF_LIFE_MS);
}
