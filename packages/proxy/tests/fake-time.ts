interface Timer {
    readonly at: number;
    readonly order: number;
    readonly callback: () => void;
}

/** A clock and a scheduler that advance only by calls of the test. */
export class FakeTime {
    now = 1_000;
    readonly #timers = new Set<Timer>();
    #order = 0;

    readonly clock = (): number => this.now;

    readonly schedule = (delayMs: number, callback: () => void): () => void => {
        const timer = { at: this.now + Math.max(0, delayMs), order: ++this.#order, callback };
        this.#timers.add(timer);
        return () => {
            this.#timers.delete(timer);
        };
    };

    /** Runs the timers that are due by `until`, in order. */
    runDue(until: number): void {
        for (;;) {
            const due = [...this.#timers].filter(timer => timer.at <= until);
            const [next] = due.sort((left, right) => left.at - right.at || left.order - right.order);
            if (next === undefined) {
                this.now = Math.max(this.now, until);
                return;
            }
            this.#timers.delete(next);
            this.now = Math.max(this.now, next.at);
            next.callback();
        }
    }
}
