interface Entry {
    readonly at: number;
    readonly run: () => void;
}

/** Runs callbacks at simulated times, in ms; those with equal times run in the order in which they were added. */
export class EventQueue {
    now = 1_000;
    /** Called after every event. */
    afterEvent: () => void = () => undefined;
    /** Latest first. */
    readonly #entries: Entry[] = [];

    at(delayMs: number, run: () => void): void {
        const entry = { at: this.now + delayMs, run };
        let index = this.#entries.length;
        while (index > 0 && this.#entries[index - 1]!.at <= entry.at) {
            index--;
        }
        this.#entries.splice(index, 0, entry);
    }

    run(durationMs: number): void {
        const end = this.now + durationMs;
        while (this.#entries.length > 0 && this.#entries.at(-1)!.at <= end) {
            const { at, run } = this.#entries.pop()!;
            this.now = at;
            run();
            this.afterEvent();
        }
        this.now = end;
    }
}
