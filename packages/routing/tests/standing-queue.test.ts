import { expect, test } from "vitest";
import { StandingQueue, WaitQueue } from "../src/index.js";

// One primary of the grown pooled deployment whose replicas lag, so that it receives all reads of its group.
const CONNECTIONS = 20;
const SLOTS = 2;
const SERVICE_MS = 9;
const ORDER = { patienceMs: 480, timeoutMs: 800 };

interface Order {
    readonly arrivedAt: number;
}

interface SimulationResult {
    readonly servedMs: readonly number[];
    readonly refusedMs: readonly number[];
}

/** Simulates an endpoint behind a queue for its connections; `arrivals(now)` orders arrive in each millisecond. */
function simulate(durationMs: number, arrivals: (now: number) => number): SimulationResult {
    const queue = new WaitQueue<Order>();
    const standing = new StandingQueue();
    const atEndpoint: Order[] = [];
    const slots: { readonly order: Order; readonly endsAt: number; }[] = [];
    const servedMs: number[] = [];
    const refusedMs: number[] = [];
    for (let now = 0; now < durationMs; now++) {
        const averageMs = SERVICE_MS * (1 + atEndpoint.length / SLOTS);
        for (let count = arrivals(now); count > 0; count--) {
            const patienceMs = standing.patienceMs(ORDER, now);
            if (queue.countAhead({ priority: 0 }) * averageMs / CONNECTIONS > patienceMs) {
                refusedMs.push(0);
            }
            else {
                queue.push({ item: { arrivedAt: now }, priority: 0, giveUpAt: now + patienceMs });
            }
        }
        refusedMs.push(...queue.expired(now).map(order => now - order.arrivedAt));
        for (const { order } of slots.filter(slot => slot.endsAt <= now)) {
            servedMs.push(now - order.arrivedAt);
        }
        slots.splice(0, slots.length, ...slots.filter(slot => slot.endsAt > now));
        while (queue.size > 0 && atEndpoint.length + slots.length < CONNECTIONS) {
            const order = queue.shift(now);
            if (order !== undefined) {
                atEndpoint.push(order);
            }
        }
        while (atEndpoint.length > 0 && slots.length < SLOTS) {
            const order = atEndpoint.shift();
            if (order !== undefined) {
                slots.push({ order, endsAt: now + SERVICE_MS });
            }
        }
        standing.update(queue.size, now);
    }
    return { servedMs, refusedMs };
}

function percentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;
}

// Guards against an overloaded primary that serves all callers late because its queue takes as long as callers wait
// (replica_lag and burst on the grown deployments).
test("lasting overload leads to immediate refusals instead of late service", () => {
    const perMs = 1.3 * SLOTS / SERVICE_MS;
    const { servedMs, refusedMs } = simulate(10_000, now => Math.floor((now + 1) * perMs) - Math.floor(now * perMs));
    expect(percentile(servedMs, 0.5)).toBeLessThan(250);
    expect(percentile(refusedMs, 0.99)).toBeLessThanOrEqual(ORDER.timeoutMs / 8);
    expect(servedMs.length).toBeGreaterThan(0.95 * 10_000 * SLOTS / SERVICE_MS);
});

// Guards against refusals of a burst that would have been served in time.
test("a burst that drains is served in full", () => {
    const { servedMs, refusedMs } = simulate(2_000, now => now % 500 === 0 ? 60 : 0);
    expect(refusedMs).toEqual([]);
    expect(servedMs).toHaveLength(240);
});
