import { planAdmissions, type PlanItem } from "./admission-plan.js";
import { ConcurrencyLimit } from "./concurrency-limit.js";
import { ServiceTimes } from "./service-times.js";

export interface AdmissionRequest {
    readonly id: number;
    readonly worth: number;
    readonly deadlineAt: number;
    /** Requests with the same key are expected to take equally long; for example class and statement kind. */
    readonly costKey: string;
}

export interface AdmissionOptions {
    /** Maximum number of waiting requests. */
    readonly queue: number;
    /** Service time assumed before the first observation. */
    readonly initialCostMs: number;
}

/** Why a request was refused; a refused request has not run. */
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
 * Admission queue of one endpoint of one database. Each endpoint of each database has its own instance, so that load on
 * one database does not affect another.
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

    /** Maximum number of running statements: the granted slots, or fewer while the endpoint slows down. */
    get limit(): number {
        return this.#limit.value;
    }

    /** Number of slots needed for all waiting and running requests, for `SlotHolder`. */
    get wanted(): number {
        return this.#waiting.length + this.#running.size;
    }

    /** Sets the number of granted slots. */
    setGranted(slots: number, now: number): readonly AdmissionEffect[] {
        this.#limit.setGranted(slots);
        return this.#dispatch(now);
    }

    /** Runs, queues or refuses a new request. A full queue evicts its request with the least worth per time. */
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

    /** Records the end of a running request. With `ok` false it was aborted, so its duration is no service time. */
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

    /** Removes a waiting request whose caller disconnected. */
    withdraw(id: number): void {
        if (this.#waiting.length > 0) {
            this.#waiting = this.#waiting.filter(request => request.id !== id);
        }
    }

    /** Earliest time at which a waiting request can no longer meet its deadline: `tick` is due just after it. */
    wakeAt(): number | undefined {
        return this.#waiting.length === 0
            ? undefined
            : Math.min(...this.#waiting.map(item => item.deadlineAt - this.#times.p99(item.costKey)));
    }

    /** Refuses waiting requests that can no longer meet their deadlines and runs requests in free slots. */
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

    /** Returns the first planned request; a single waiting request needs no plan. */
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

    /** Returns the request with more worth per expected time or, when equal, the earlier deadline. */
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
