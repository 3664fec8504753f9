/** Limits the statements that run at the same time; others wait inside the endpoint, and the most wanted is counted. */
export class SlotGate {
    readonly limit: number;
    readonly #waiting: (() => void)[] = [];
    #inUse = 0;
    #maxInUse = 0;
    #maxWanted = 0;

    constructor(limit: number) {
        this.limit = limit;
    }

    get counts(): {
        readonly limit: number;
        readonly inUse: number;
        readonly maxInUse: number;
        readonly maxWanted: number;
    } {
        return { limit: this.limit, inUse: this.#inUse, maxInUse: this.#maxInUse, maxWanted: this.#maxWanted };
    }

    resetCounts(): void {
        this.#maxInUse = this.#inUse;
        this.#maxWanted = this.#inUse + this.#waiting.length;
    }

    /** Takes a slot at once if one is free. */
    tryAcquire(): boolean {
        this.#maxWanted = Math.max(this.#maxWanted, this.#inUse + this.#waiting.length + 1);
        if (this.#inUse >= this.limit) {
            return false;
        }
        this.#inUse++;
        this.#maxInUse = Math.max(this.#maxInUse, this.#inUse);
        return true;
    }

    /** Waits for a slot; false when the signal ends the wait. */
    acquire(signal: AbortSignal): Promise<boolean> {
        if (this.tryAcquire()) {
            return Promise.resolve(true);
        }
        return new Promise((resolve) => {
            const granted = (): void => {
                signal.removeEventListener("abort", cancelled);
                resolve(true);
            };
            const cancelled = (): void => {
                this.#waiting.splice(this.#waiting.indexOf(granted), 1);
                resolve(false);
            };
            this.#waiting.push(granted);
            signal.addEventListener("abort", cancelled, { once: true });
        });
    }

    /** Gives the slot to the one that waits longest, or frees it. */
    release(): void {
        const next = this.#waiting.shift();
        if (next === undefined) {
            this.#inUse--;
        }
        else {
            next();
        }
    }
}
