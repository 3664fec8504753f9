import type { Position } from "@medlarledge/protocol";

/** Starts one reading of the primary's position; `sent` is called right before the query leaves. */
export type StartReading = (sent: () => void, done: (position: Position | undefined) => void) => void;

export type PositionListener = (position: Position | undefined) => void;

/** One query of the primary's position for all who asked before it was sent. At most one query runs at a time. */
export class SharedPosition {
    readonly #start: StartReading;
    #waiting: PositionListener[] = [];
    #running = false;

    constructor(start: StartReading) {
        this.#start = start;
    }

    /** The listener gets a position that is at least the primary's at the time of this call, or undefined. */
    request(listener: PositionListener): void {
        this.#waiting.push(listener);
        this.#run();
    }

    #run(): void {
        if (this.#running || this.#waiting.length === 0) {
            return;
        }
        this.#running = true;
        let answered: PositionListener[] = [];
        let sent = false;
        this.#start(
            () => {
                sent = true;
                answered = this.#waiting;
                this.#waiting = [];
            },
            position => {
                if (!sent) {
                    answered = this.#waiting;
                    this.#waiting = [];
                }
                this.#running = false;
                for (const listener of answered) {
                    listener(position);
                }
                this.#run();
            },
        );
    }
}
