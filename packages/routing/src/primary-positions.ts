import type { Position, Term } from "@medlarledge/protocol";

interface Sample {
    /** When the position was queried: the data age that it proves counts from here. */
    readonly at: number;
    /** When the answer arrived: the base of lag estimates. */
    readonly receivedAt: number;
    readonly position: Position;
}

// Samples closer together are merged; 1 ms is below the shortest network round trip between data centres.
const MIN_SAMPLE_SPACING_MS = 1;

const MAX_SAMPLES = 1_024;

// After thinning, neighbours are at most this share of their age apart, so an age is proved to within 2 %.
const MAX_SPACING_SHARE = 1 / 50;

/**
 * Positions of one database's primary over time. A sample's time is when the position was queried under a valid lease:
 * a replica at the sample's position then holds everything acknowledged up to that time.
 */
export class PrimaryPositions {
    #term: Term = 0;
    #samples: Sample[] = [];

    /** Adds a sample. A new term discards all earlier samples, because positions of two terms are not comparable. */
    record(term: Term, position: Position, at: number, receivedAt: number): void {
        if (term < this.#term) {
            return;
        }
        if (term > this.#term) {
            this.#term = term;
            this.#samples = [];
        }
        this.#add(position, at, receivedAt);
    }

    /** The newest known position; undefined before the first sample of the term. */
    latest(): Position | undefined {
        return this.#samples.at(-1)?.position;
    }

    /** The lowest position that proves data to be at most `ageMs` old; undefined when no sample is recent enough. */
    positionWithin(ageMs: number, now: number): Position | undefined {
        const index = this.#firstIndex(sample => sample.at >= now - ageMs);
        return this.#samples[index]?.position;
    }

    /** The time at which a sample first showed the primary at or past a position; undefined without such a sample. */
    reachedAt(position: Position): number | undefined {
        return this.#samples[this.#firstIndex(sample => sample.position >= position)]?.receivedAt;
    }

    #add(position: Position, at: number, receivedAt: number): void {
        const last = this.#samples.at(-1);
        if (last !== undefined && at < last.at + MIN_SAMPLE_SPACING_MS) {
            // The earlier time with the higher position is conservative: it requires more than needed, never less.
            this.#samples[this.#samples.length - 1] = { ...last, position: Math.max(position, last.position) };
            return;
        }
        this.#samples.push({ at, receivedAt, position: Math.max(position, last?.position ?? 0) });
        if (this.#samples.length > MAX_SAMPLES) {
            this.#thin(at);
        }
    }

    /** Thins out old samples more than recent ones, so that ages of a day fit into a bounded list. */
    #thin(now: number): void {
        const kept: Sample[] = [];
        for (const sample of this.#samples) {
            const former = kept.at(-1);
            if (former === undefined || sample.at - former.at >= (now - sample.at) * MAX_SPACING_SHARE) {
                kept.push(sample);
            }
        }
        this.#samples = kept.length > MAX_SAMPLES / 2 ? kept.slice(-MAX_SAMPLES / 2) : kept;
    }

    #firstIndex(matches: (sample: Sample) => boolean): number {
        let low = 0;
        let high = this.#samples.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            const sample = this.#samples[middle];
            if (sample !== undefined && matches(sample)) {
                high = middle;
            }
            else {
                low = middle + 1;
            }
        }
        return low;
    }
}
