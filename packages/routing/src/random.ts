import { uniformFloat32 } from "pure-rand/distribution/uniformFloat32";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Seeded pseudo-random number generator. */
export class Random {
    readonly #generator;

    constructor(seed: number) {
        this.#generator = xoroshiro128plus(seed);
    }

    /** A whole number from 0 up to but not including `count`. */
    below(count: number): number {
        return uniformInt(this.#generator, 0, count - 1);
    }

    /** A number from 0 up to but not including 1. */
    unit(): number {
        return uniformFloat32(this.#generator);
    }
}
