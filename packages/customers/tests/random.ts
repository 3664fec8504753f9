/** A seeded generator of random numbers (mulberry32). */
export class Random {
    #state: number;

    constructor(seed: number) {
        this.#state = seed;
    }

    /** A number from 0 to below 1. */
    unit(): number {
        this.#state = (this.#state + 0x6d2b79f5) | 0;
        let mixed = Math.imul(this.#state ^ (this.#state >>> 15), 1 | this.#state);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
    }

    /** A whole number from 0 to below `limit`. */
    below(limit: number): number {
        return Math.floor(this.unit() * limit);
    }
}
