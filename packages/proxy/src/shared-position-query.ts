import type { Position } from "@medlarledge/protocol";

/** Starts one query of the primary's position; `sent` is called right before the query is sent. */
export type StartPositionQuery = (sent: () => void, done: (position: Position | undefined) => void) => void;

export type PositionListener = (position: Position | undefined) => void;

/** Shares one query of the primary's position among all requests made before it was sent. Runs one query at a time. */
export class SharedPositionQuery {
    readonly #start: StartPositionQuery;
    #queued: PositionListener[] = [];
    #isRunning = false;

    constructor(start: StartPositionQuery) {
        this.#start = start;
    }

    /** Calls `listener` with a position at or after the primary's at the time of this call, or undefined on failure. */
    request(listener: PositionListener): void {
        this.#queued.push(listener);
        this.#startNext();
    }

    #startNext(): void {
        if (this.#isRunning || this.#queued.length === 0) {
            return;
        }
        this.#isRunning = true;
        let listeners: PositionListener[] = [];
        let sent = false;
        this.#start(
            () => {
                sent = true;
                listeners = this.#queued;
                this.#queued = [];
            },
            position => {
                if (!sent) {
                    listeners = this.#queued;
                    this.#queued = [];
                }
                this.#isRunning = false;
                for (const listener of listeners) {
                    listener(position);
                }
                this.#startNext();
            },
        );
    }
}
