/** Actual positions of a primary and its replicas over time. */
export class Replication {
    readonly #lags: readonly number[];
    readonly #times: number[] = [0];

    /** @param lags replay lag of each replica in ms; it oscillates by 30 % around this value */
    constructor(lags: readonly number[]) {
        this.#lags = lags;
    }

    /** Commits one write; its position is the number of writes so far. */
    commit(now: number): number {
        return this.#times.push(now) - 1;
    }

    /** Position of the primary at a time up to now. */
    primaryAt(time: number): number {
        let low = 0;
        let high = this.#times.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.#times[middle]! <= time) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return Math.max(0, low - 1);
    }

    /** Position of an endpoint: 0 is the primary, the others replicas. */
    positionOf(endpoint: number, time: number): number {
        return this.primaryAt(endpoint === 0 ? time : time - this.#lagOf(endpoint, time));
    }

    /** The earliest time from `now` up to `limit` at which a replica has a position; undefined when it is later. */
    reaches(endpoint: number, position: number, now: number, limit: number): number | undefined {
        for (let time = now; time <= limit; time += 0.25) {
            if (this.positionOf(endpoint, time) >= position) {
                return time;
            }
        }
        return undefined;
    }

    /** The oscillation is slow enough (its slope stays below 1) that a replica's position never decreases. */
    #lagOf(endpoint: number, time: number): number {
        const lag = this.#lags[endpoint - 1]!;
        const period = 1_500 + 400 * endpoint + 6 * lag;
        return lag * (1 + 0.3 * Math.sin((2 * Math.PI * time) / period));
    }
}
