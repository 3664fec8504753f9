import { planAdmissions, type PlanItem } from "./admission-plan.js";
import { ConcurrencyLimit } from "./concurrency-limit.js";
import { ServiceTimes } from "./service-times.js";

export interface AdmissionRequest {
    readonly id: number;
    readonly worth: number;
    readonly deadlineAt: number;
    /** Requests with the same key are expected to take equally long, for example the class and statement kind. */
    readonly costKey: string;
}

export interface AdmissionOptions {
    /** Requests that may wait. */
    readonly queue: number;
    /** Service time assumed before any was observed. */
    readonly initialCostMs: number;
}

/** Nothing of a refused request has run. */
export type AdmissionRefusal = "deadline" | "queueFull" | "evicted";

export type AdmissionEffect =
    | { readonly kind: "run"; readonly id: number; }
    | { readonly kind: "refuse"; readonly id: number; readonly reason: AdmissionRefusal; };

interface Waiting extends AdmissionRequest {
    readonly arrivedAt: number;
}

interface Running {
    readonly costKey: string;
    readonly startedAt: number;
}

/**
 * The queue of one endpoint of one database. Each endpoint of each database has its own instance, so that load on one
 * database takes nothing from another.
 */
export class AdmissionQueue {
    readonly #options: AdmissionOptions;
    readonly #times: ServiceTimes;
    readonly #limit = new ConcurrencyLimit();
    readonly #running = new Map<number, Running>();
    #waiting: Waiting[] = [];

    constructor(options: AdmissionOptions) {
        this.#options = options;
        this.#times = new ServiceTimes(options.initialCostMs);
    }

    get waiting(): number {
        return this.#waiting.length;
    }

    get running(): number {
        return this.#running.size;
    }

    /** Statements that may run now: at most the granted slots, fewer while the endpoint slows down. */
    get limit(): number {
        return this.#limit.value;
    }

    /** Slots wanted in total, for `SlotHolder`. */
    get wanted(): number {
        return this.#waiting.length + this.#running.size;
    }

    setGranted(slots: number, now: number): readonly AdmissionEffect[] {
        this.#limit.setGranted(slots);
        return this.#dispatch(now);
    }

    offer(request: AdmissionRequest, now: number): readonly AdmissionEffect[] {
        if (now + this.#times.p99(request.costKey) > request.deadlineAt) {
            return [{ kind: "refuse", id: request.id, reason: "deadline" }];
        }
        if (this.#waiting.length === 0 && this.#running.size < this.#limit.value) {
            return [this.#run(request, now)];
        }
        this.#waiting.push({ ...request, arrivedAt: now });
        return [...this.#dispatch(now), ...this.#evict(request.id)];
    }

    /** A running request ended. `ok` false: it was cut, so its time says nothing about the service time. */
    finished(id: number, ok: boolean, now: number): readonly AdmissionEffect[] {
        const running = this.#running.get(id);
        if (running !== undefined) {
            this.#running.delete(id);
            if (ok) {
                this.#times.observe(running.costKey, now - running.startedAt);
                this.#limit.observe(now - running.startedAt, this.#times.expected(running.costKey));
            }
        }
        return this.#dispatch(now);
    }

    /** The caller went away before its request ran. */
    withdraw(id: number): void {
        if (this.#waiting.length > 0) {
            this.#waiting = this.#waiting.filter(request => request.id !== id);
        }
    }

    /** The next time at which a waiting request can no longer make its deadline: `tick` is due just after it. */
    wakeAt(): number | undefined {
        return this.#waiting.length === 0
            ? undefined
            : Math.min(...this.#waiting.map(item => item.deadlineAt - this.#times.p99(item.costKey)));
    }

    /** Refuses what can no longer make its deadline. */
    tick(now: number): readonly AdmissionEffect[] {
        return this.#dispatch(now);
    }

    #dispatch(now: number): readonly AdmissionEffect[] {
        if (this.#waiting.length === 0) {
            return [];
        }
        const effects: AdmissionEffect[] = this.#expire(now);
        while (this.#running.size < this.#limit.value && this.#waiting.length > 0) {
            const next = this.#next(now);
            this.withdraw(next.id);
            effects.push(this.#run(next, now));
        }
        return effects;
    }

    #run({ id, costKey }: AdmissionRequest, now: number): AdmissionEffect {
        this.#running.set(id, { costKey, startedAt: now });
        return { kind: "run", id };
    }

    /** The first of the planned requests; when one slot's worth of work waits, there is nothing to plan. */
    #next(now: number): Waiting {
        const [first] = this.#waiting;
        const planned = this.#waiting.length > 1
            ? planAdmissions(this.#waiting.map(item => this.#plannable(item)), this.#limit.value, now)[0]
            : undefined;
        return (planned?.item ?? first) as Waiting;
    }

    #plannable(item: Waiting): PlanItem<Waiting> {
        return { item, worth: item.worth, deadlineAt: item.deadlineAt, costMs: this.#times.expected(item.costKey) };
    }

    #expire(now: number): AdmissionEffect[] {
        const late = this.#waiting.filter(item => now + this.#times.p99(item.costKey) > item.deadlineAt);
        if (late.length > 0) {
            this.#waiting = this.#waiting.filter(item => !late.includes(item));
        }
        return late.map(({ id }) => ({ kind: "refuse", id, reason: "deadline" }));
    }

    #evict(newest: number): readonly AdmissionEffect[] {
        if (this.#waiting.length <= this.#options.queue) {
            return [];
        }
        const least = this.#waiting.reduce((worst, item) => this.#preferred(worst, item) === worst ? item : worst);
        this.withdraw(least.id);
        return [{ kind: "refuse", id: least.id, reason: least.id === newest ? "queueFull" : "evicted" }];
    }

    /** More worth per expected time first, then the earlier deadline. */
    #preferred(left: Waiting | undefined, right: Waiting): Waiting {
        if (left === undefined) {
            return right;
        }
        const difference = this.#density(right) - this.#density(left);
        return difference > 0 || (difference === 0 && right.deadlineAt < left.deadlineAt) ? right : left;
    }

    #density(item: Waiting): number {
        return item.worth / this.#times.expected(item.costKey);
    }
}
