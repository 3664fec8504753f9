import { type AdmissionEffect, AdmissionQueue, type AdmissionRequest } from "../../src/index.js";
import { Random } from "../../src/random.js";
import { EventQueue } from "./event-queue.js";
import { type Job, worthUpperBound } from "./worth-upper-bound.js";

export interface AdmissionCell {
    readonly load: number;
    readonly jobs: number;
    readonly slots: number;
    /** Service times lie within this share of their class's mean, uniformly. */
    readonly variation: number;
    readonly seed: number;
}

export interface AdmissionResult {
    /** Worth of the requests that finished within their deadlines. */
    readonly worth: number;
    /** 99th percentile of the time used by admitted requests, as a share of the time they had. */
    readonly p99OfDeadline: number;
    readonly lateShare: number;
    /** Requests without a result or refusal by their deadline. */
    readonly unreported: number;
}

/** Common interface of `AdmissionQueue` and the policies that it is compared with. */
export interface QueuePolicy {
    offer(request: AdmissionRequest, now: number): readonly AdmissionEffect[];
    finished(id: number, ok: boolean, now: number): readonly AdmissionEffect[];
    tick(now: number): readonly AdmissionEffect[];
    wakeAt(): number | undefined;
}

const KINDS = [
    { kind: "claim", share: 0.25, worth: 10, costMs: 2, deadlineMs: 60 },
    { kind: "map", share: 0.35, worth: 1, costMs: 2, deadlineMs: 500 },
    { kind: "fee", share: 0.15, worth: 8, costMs: 6, deadlineMs: 150 },
    { kind: "list", share: 0.2, worth: 2, costMs: 5, deadlineMs: 1_000 },
    { kind: "report", share: 0.05, worth: 4, costMs: 25, deadlineMs: 3_000 },
] as const;

/** Draws a load: Poisson arrivals at a multiple of what the slots can serve. */
export function drawJobs(cell: AdmissionCell): readonly Job[] {
    const random = new Random(cell.seed);
    const meanCost = KINDS.reduce((sum, { share, costMs }) => sum + share * costMs, 0);
    let at = 0;
    return Array.from({ length: cell.jobs }, (_, id) => {
        at += -Math.log(1 - random.unit()) * meanCost / (cell.slots * cell.load);
        let draw = random.unit();
        const kind = KINDS.find(({ share }) => (draw -= share) < 0) ?? KINDS[0];
        const costMs = kind.costMs * (1 + cell.variation * (2 * random.unit() - 1));
        return { id, arrivesAt: at, deadlineAt: at + kind.deadlineMs, worth: kind.worth, costMs, kind: kind.kind };
    });
}

export function measureAdmission(jobs: readonly Job[], queueing: QueuePolicy): AdmissionResult {
    const queue = new EventQueue();
    const outcomes = new Map<number, { startedAt?: number; endedAt: number; refused: boolean; }>();
    let wakeAt = Infinity;
    const wake = (now: number): void => {
        wakeAt = Infinity;
        execute(queueing.tick(now), now);
    };
    const execute = (effects: readonly AdmissionEffect[], now: number): void => {
        const next = Math.max(now, queueing.wakeAt() ?? Infinity) + 0.01;
        if (next < wakeAt) {
            wakeAt = next;
            queue.add(next, wake);
        }
        for (const { kind, id } of effects) {
            if (kind === "refuse") {
                outcomes.set(id, { endedAt: now, refused: true });
                continue;
            }
            const endedAt = now + jobs[id]!.costMs;
            outcomes.set(id, { endedAt, startedAt: now, refused: false });
            queue.add(endedAt, time => execute(queueing.finished(id, true, time), time));
        }
    };
    for (const { id, worth, deadlineAt, kind, arrivesAt } of jobs) {
        queue.add(arrivesAt, now => execute(queueing.offer({ id, worth, deadlineAt, costKey: kind }, now), now));
    }
    queue.runUntil(Infinity);
    return summarise(jobs, outcomes);
}

function summarise(
    jobs: readonly Job[],
    outcomes: ReadonlyMap<number, { readonly endedAt: number; readonly refused: boolean; }>,
): AdmissionResult {
    const admitted = jobs.filter(({ id }) => outcomes.get(id)?.refused === false);
    const inTime = admitted.filter(job => outcomes.get(job.id)!.endedAt <= job.deadlineAt);
    const used = admitted
        .map(job => (outcomes.get(job.id)!.endedAt - job.arrivesAt) / (job.deadlineAt - job.arrivesAt))
        .sort((left, right) => left - right);
    return {
        worth: inTime.reduce((sum, { worth }) => sum + worth, 0),
        p99OfDeadline: used[Math.floor(used.length * 0.99)] ?? 0,
        lateShare: 1 - inTime.length / Math.max(1, admitted.length),
        unreported: jobs.filter(job => {
            const outcome = outcomes.get(job.id);
            return outcome === undefined || (outcome.refused && outcome.endedAt > job.deadlineAt);
        }).length,
    };
}

/** Baseline: runs requests in the order of arrival; a full queue refuses new requests. */
export class FirstInFirstOut implements QueuePolicy {
    readonly #slots: number;
    readonly #queue: number;
    #waiting: number[] = [];
    #running = 0;

    constructor(slots: number, queue: number) {
        this.#slots = slots;
        this.#queue = queue;
    }

    offer(request: AdmissionRequest): readonly AdmissionEffect[] {
        if (this.#waiting.length >= this.#queue) {
            return [{ kind: "refuse", id: request.id, reason: "queueFull" }];
        }
        this.#waiting.push(request.id);
        return this.tick();
    }

    finished(): readonly AdmissionEffect[] {
        this.#running--;
        return this.tick();
    }

    wakeAt(): undefined {
        return undefined;
    }

    tick(): readonly AdmissionEffect[] {
        const effects: AdmissionEffect[] = [];
        while (this.#running < this.#slots && this.#waiting.length > 0) {
            this.#running++;
            effects.push({ kind: "run", id: this.#waiting.shift()! });
        }
        return effects;
    }
}

export function newAdmission(slots: number): AdmissionQueue {
    const admission = new AdmissionQueue({ queue: 256, initialCostMs: 5 });
    admission.setGranted(slots, 0);
    return admission;
}

export interface AdmissionComparison {
    readonly admission: AdmissionResult;
    readonly firstInFirstOut: AdmissionResult;
    readonly bound: number;
}

export function compareAdmission(cell: AdmissionCell): AdmissionComparison {
    const jobs = drawJobs(cell);
    return {
        admission: measureAdmission(jobs, newAdmission(cell.slots)),
        firstInFirstOut: measureAdmission(jobs, new FirstInFirstOut(cell.slots, 256)),
        bound: worthUpperBound(jobs, cell.slots),
    };
}
