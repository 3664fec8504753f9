import { addCounts, EMPTY_COUNT, type ServiceCount } from "./service-count.js";

export const MINUTE_MS = 60_000;
export const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;

/** Minutes are kept for the short windows, hours for the long ones. */
const MINUTES_KEPT_MS = 7 * HOUR_MS;
const HOURS_KEPT_MS = 31 * DAY_MS;

interface Bucket {
    readonly start: number;
    readonly database: string;
    readonly count: ServiceCount;
}

/** Plain data of a history, for a file or a message. */
export interface SavedHistory {
    readonly minutes: readonly Bucket[];
    readonly hours: readonly Bucket[];
}

/** Service counts by database over time. Times are wall-clock milliseconds, since they outlive a process. */
export class ServiceHistory {
    readonly #minutes = new Map<string, Bucket>();
    readonly #hours = new Map<string, Bucket>();

    /** Adds a count at a time; the same time may be added to again. */
    add(database: string, wallClock: number, count: ServiceCount): void {
        addTo(this.#minutes, database, floorTo(wallClock, MINUTE_MS), count);
        addTo(this.#hours, database, floorTo(wallClock, HOUR_MS), count);
    }

    /** Sums what lies within a window that ends now. Windows beyond the minutes kept are summed by hours. */
    sum(database: string, windowMs: number, wallClock: number): ServiceCount {
        const buckets = windowMs > MINUTES_KEPT_MS - HOUR_MS ? this.#hours : this.#minutes;
        const from = wallClock - windowMs;
        let sum = EMPTY_COUNT;
        for (const bucket of buckets.values()) {
            if (bucket.database === database && bucket.start >= from && bucket.start <= wallClock) {
                sum = addCounts(sum, bucket.count);
            }
        }
        return sum;
    }

    /** The buckets of one database within a window, oldest first, for plots. */
    series(database: string, windowMs: number, wallClock: number): readonly { start: number; count: ServiceCount; }[] {
        const buckets = windowMs > MINUTES_KEPT_MS - HOUR_MS ? this.#hours : this.#minutes;
        return [...buckets.values()]
            .filter(bucket => bucket.database === database && bucket.start >= wallClock - windowMs)
            .sort((left, right) => left.start - right.start);
    }

    databases(): readonly string[] {
        return [...new Set([...this.#hours.values()].map(bucket => bucket.database))].sort();
    }

    /** Drops buckets that no window reaches any more. */
    prune(wallClock: number): void {
        pruneBefore(this.#minutes, wallClock - MINUTES_KEPT_MS);
        pruneBefore(this.#hours, wallClock - HOURS_KEPT_MS);
    }

    save(): SavedHistory {
        return { minutes: [...this.#minutes.values()], hours: [...this.#hours.values()] };
    }

    static restore(saved: SavedHistory): ServiceHistory {
        const history = new ServiceHistory();
        for (const bucket of saved.minutes) {
            addTo(history.#minutes, bucket.database, bucket.start, bucket.count);
        }
        for (const bucket of saved.hours) {
            addTo(history.#hours, bucket.database, bucket.start, bucket.count);
        }
        return history;
    }
}

function addTo(buckets: Map<string, Bucket>, database: string, start: number, count: ServiceCount): void {
    const key = `${start} ${database}`;
    const former = buckets.get(key)?.count ?? EMPTY_COUNT;
    buckets.set(key, { start, database, count: addCounts(former, count) });
}

function pruneBefore(buckets: Map<string, Bucket>, before: number): void {
    for (const [key, bucket] of buckets) {
        if (bucket.start < before) {
            buckets.delete(key);
        }
    }
}

function floorTo(value: number, step: number): number {
    return Math.floor(value / step) * step;
}
