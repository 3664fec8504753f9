import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

interface Entry {
    readonly at: number;
    readonly order: number;
    readonly run: () => void;
}

/** Simulated milliseconds and the events due at them; equal times run in the order in which they were added. */
export class SimulatedTime {
    now = 1_000;
    readonly random: () => number;
    readonly #heap: Entry[] = [];
    #order = 0;

    constructor(seed: number) {
        const generator = xoroshiro128plus(seed);
        this.random = () => uniformFloat64(generator);
    }

    /** Calls back after a delay; the result cancels it. */
    at(delayMs: number, callback: () => void): () => void {
        let cancelled = false;
        const run = (): void => cancelled ? undefined : callback();
        this.#push({ at: this.now + Math.max(0, delayMs), order: this.#order++, run });
        return () => {
            cancelled = true;
        };
    }

    sleep(delayMs: number): Promise<void> {
        return new Promise(resolve => this.at(delayMs, resolve));
    }

    /** Runs what is due until the time, and lets promises settle after each event. */
    async runUntil(end: number): Promise<void> {
        for (let next = this.#heap[0]; next !== undefined && next.at <= end; next = this.#heap[0]) {
            this.#pop();
            this.now = Math.max(this.now, next.at);
            next.run();
            await new Promise(setImmediate);
        }
        this.now = Math.max(this.now, end);
    }

    #push(entry: Entry): void {
        const heap = this.#heap;
        let index = heap.length;
        heap.push(entry);
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!before(entry, heap[parent])) {
                break;
            }
            heap[index] = heap[parent] ?? entry;
            index = parent;
        }
        heap[index] = entry;
    }

    #pop(): void {
        const heap = this.#heap;
        const last = heap.pop();
        if (last === undefined || heap.length === 0) {
            return;
        }
        let index = 0;
        for (;;) {
            const left = 2 * index + 1;
            const child = before(heap[left + 1], heap[left]) ? left + 1 : left;
            const entry = heap[child];
            if (entry === undefined || !before(entry, last)) {
                break;
            }
            heap[index] = entry;
            index = child;
        }
        heap[index] = last;
    }
}

function before(left: Entry | undefined, right: Entry | undefined): boolean {
    return left !== undefined && right !== undefined
        && (left.at < right.at || (left.at === right.at && left.order < right.order));
}
