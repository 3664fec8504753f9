import type { PoolWaiter } from "./pool.js";
import type { Admission, AdmissionEffect } from "./ports.js";

/** Interval at which waiting requests are checked against their deadlines. */
const DEADLINE_CHECK_INTERVAL_MS = 10;

export interface PoolQueueOptions {
    readonly admission: Admission;
    readonly clock: () => number;
    readonly schedule: (delayMs: number, callback: () => void) => () => void;
    /** Reports the number of requests that run or wait, and of those that run, when either changed. */
    readonly wanted: (wanted: number, running: number) => void;
    /** Called when an admitted request begins to wait for a connection. */
    readonly onAdmitted: () => void;
}

/** The queued requests of one endpoint, which wait first for admission and then for a connection. */
export class PoolQueue {
    readonly #options: PoolQueueOptions;
    readonly #byId = new Map<number, PoolWaiter>();
    readonly #admitted = new Set<PoolWaiter>();
    readonly #idOf = new Map<PoolWaiter, number>();
    #lastId = 0;
    #lastWanted = 0;
    #lastRunning = 0;
    #cancelTick: (() => void) | undefined;

    constructor(options: PoolQueueOptions) {
        this.#options = options;
    }

    /** Requests that wait for admission or for a connection. */
    get waiting(): number {
        return this.#options.admission.waiting + this.#admitted.size;
    }

    /** Admitted requests that wait for a connection. */
    get admittedWaiting(): number {
        return this.#admitted.size;
    }

    setGranted(slots: number): void {
        this.#apply(this.#options.admission.setGranted(slots, this.#options.clock()));
    }

    offer(waiter: PoolWaiter): void {
        this.#lastId += 1;
        const id = this.#lastId;
        this.#byId.set(id, waiter);
        this.#idOf.set(waiter, id);
        const { worth, deadlineAt, costKey } = waiter;
        this.#apply(this.#options.admission.offer({ id, worth, deadlineAt, costKey }, this.#options.clock()));
        this.#scheduleTick();
    }

    /** Removes and returns the next admitted request. */
    nextAdmitted(): PoolWaiter | undefined {
        for (const waiter of this.#admitted) {
            this.#admitted.delete(waiter);
            return waiter;
        }
        return undefined;
    }

    /** Ends a request that ran or waits. `ok` is false when it was aborted. */
    finished(waiter: PoolWaiter, ok: boolean): void {
        const id = this.#idOf.get(waiter);
        if (id === undefined) {
            return;
        }
        this.#remove(id, waiter);
        this.#admitted.delete(waiter);
        this.#options.admission.withdraw(id);
        this.#apply(this.#options.admission.finished(id, ok, this.#options.clock()));
    }

    /** Refuses all waiting requests. */
    refuseAll(refuse: (waiter: PoolWaiter) => void): void {
        const running = new Set(this.#byId.keys());
        for (const [id, waiter] of [...this.#byId]) {
            if (running.has(id) && !waiter.running) {
                this.finished(waiter, false);
                refuse(waiter);
            }
        }
    }

    stop(): void {
        this.#cancelTick?.();
    }

    #remove(id: number, waiter: PoolWaiter): void {
        this.#byId.delete(id);
        this.#idOf.delete(waiter);
    }

    #apply(effects: readonly AdmissionEffect[]): void {
        let admitted = false;
        for (const effect of effects) {
            const waiter = this.#byId.get(effect.id);
            if (waiter === undefined) {
                continue;
            }
            if (effect.kind === "run") {
                this.#admitted.add(waiter);
                admitted = true;
            }
            else {
                this.#remove(effect.id, waiter);
                waiter.refused(effect.reason === "deadline" ? "deadline" : "queueFull");
            }
        }
        this.#reportCounts();
        if (admitted) {
            this.#options.onAdmitted();
        }
    }

    #reportCounts(): void {
        const { wanted, running } = this.#options.admission;
        if (wanted !== this.#lastWanted || running !== this.#lastRunning) {
            this.#lastWanted = wanted;
            this.#lastRunning = running;
            this.#options.wanted(wanted, running);
        }
    }

    #scheduleTick(): void {
        if (this.#cancelTick !== undefined || this.#options.admission.waiting === 0) {
            return;
        }
        this.#cancelTick = this.#options.schedule(DEADLINE_CHECK_INTERVAL_MS, () => {
            this.#cancelTick = undefined;
            this.#apply(this.#options.admission.tick(this.#options.clock()));
            this.#scheduleTick();
        });
    }
}
