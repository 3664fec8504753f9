import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { AdmissionQueue, EndpointHealth, RETRY_OPTIONS, RetryBudget } from "../src/index.js";

const SEED = 3_303;

describe("RetryBudget", () => {
    test("retries never exceed a tenth of the attempts in a window, or a failure would multiply the load", () => {
        const steps = fc.array(fc.tuple(fc.nat(300), fc.nat(40), fc.nat(10)), { maxLength: 150 });
        const property = fc.property(steps, fc.integer(), (list, seed) => {
            const budget = new RetryBudget({ ...RETRY_OPTIONS, seed });
            const attempts: number[] = [];
            const retries: number[] = [];
            let now = 0;
            for (const [wait, first, again] of list) {
                now += wait;
                for (let count = 0; count < first; count++) {
                    budget.attempted(now);
                    attempts.push(now);
                }
                for (let count = 0; count < again; count++) {
                    const delay = budget.retry("e", 1, now);
                    if (delay !== undefined) {
                        retries.push(now);
                        const within = (times: readonly number[]) =>
                            times.filter(time => time > now - RETRY_OPTIONS.windowMs).length;
                        expect(within(retries)).toBeLessThanOrEqual(0.1 * within(attempts));
                        expect(delay).toBeLessThanOrEqual(RETRY_OPTIONS.maxDelayMs);
                    }
                }
            }
        });
        fc.assert(property, { seed: SEED, numRuns: 200 });
    });

    test("a request that failed on an endpoint that sheds load is not retried during the pause", () => {
        const budget = new RetryBudget({ ...RETRY_OPTIONS, seed: 1 });
        for (let count = 0; count < 100; count++) {
            budget.attempted(0);
        }
        budget.shed("e", 0);
        expect(budget.retry("e", 1, 999)).toBeUndefined();
        expect(budget.retry("e", 1, 1_000)).toBeDefined();
    });
});

describe("EndpointHealth", () => {
    test("a slow endpoint is set aside, probed with growing pauses and used again after it has recovered", () => {
        const health = new EndpointHealth();
        health.setEndpoints(["a", "b", "c"]);
        for (let count = 0; count < 20; count++) {
            health.answered("a", 2, count);
            health.answered("b", 3, count);
            health.answered("c", 200, count);
        }
        expect([health.state("a", 20), health.state("c", 20), health.state("c", 1_100)]).toEqual([
            "ok",
            "setAside",
            "probing",
        ]);
        health.trialStarted("c", 1_100);
        expect(health.state("c", 1_101)).toBe("setAside");
        health.answered("c", 300, 1_400);
        expect([health.state("c", 3_000), health.state("c", 3_500)]).toEqual(["setAside", "probing"]);
        for (let count = 0; count < 3; count++) {
            health.trialStarted("c", 3_500 + count);
            health.answered("c", 3, 3_500 + count);
        }
        expect(health.state("c", 3_600)).toBe("ok");
    });

    test("at least one endpoint stays in use, whatever fails", () => {
        const events = fc.array(fc.tuple(fc.constantFrom("a", "b", "c"), fc.boolean(), fc.nat(400)), {
            maxLength: 300,
        });
        const property = fc.property(events, list => {
            const health = new EndpointHealth();
            health.setEndpoints(["a", "b", "c"]);
            for (const [index, [endpoint, fails, latencyMs]] of list.entries()) {
                if (fails) {
                    health.failed(endpoint, index * 10);
                }
                else {
                    health.answered(endpoint, latencyMs, index * 10);
                }
                expect(["a", "b", "c"].map(id => health.state(id, index * 10))).toContain("ok");
            }
        });
        fc.assert(property, { seed: SEED, numRuns: 300 });
    });
});

describe("Admission", () => {
    const requests = fc.array(fc.record({ worth: fc.integer({ min: 1, max: 50 }), afterMs: fc.nat(6) }), {
        maxLength: 80,
    });

    test("each request is run or refused exactly once, in time, within the slots, and the queue stays bounded", () => {
        const property = fc.property(requests, fc.integer({ min: 1, max: 4 }), (list, slots) => {
            const admission = new AdmissionQueue({ queue: 8, initialCostMs: 5 });
            const effectCounts = new Map<number, number>();
            const running: { readonly id: number; readonly end: number; }[] = [];
            const applyEffects = (effects: ReturnType<AdmissionQueue["tick"]>, now: number) => {
                for (const { kind, id } of effects) {
                    effectCounts.set(id, (effectCounts.get(id) ?? 0) + 1);
                    expect(now).toBeLessThanOrEqual(
                        list.slice(0, id + 1).reduce((at, item) => at + item.afterMs, 0) + 41,
                    );
                    if (kind === "run") {
                        running.push({ id, end: now + 5 });
                    }
                }
                expect(running.length).toBeLessThanOrEqual(slots);
                expect(admission.waiting).toBeLessThanOrEqual(8);
            };
            const advance = (until: number) => {
                for (; now < until; now++) {
                    for (const done of running.filter(({ end }) => end <= now)) {
                        running.splice(running.indexOf(done), 1);
                        applyEffects(admission.finished(done.id, true, now), now);
                    }
                    applyEffects(admission.tick(now), now);
                }
            };
            let now = 0;
            admission.setGranted(slots, 0);
            for (const [id, { worth, afterMs }] of list.entries()) {
                advance(now + afterMs);
                applyEffects(admission.offer({ id, worth, deadlineAt: now + 40, costKey: "k" }, now), now);
            }
            advance(now + 100);
            expect([...effectCounts.values()].every(count => count === 1) && effectCounts.size === list.length)
                .toBe(true);
        });
        fc.assert(property, { seed: SEED, numRuns: 300 });
    });

    test("a full queue evicts its request of least worth and reports the eviction", () => {
        const admission = new AdmissionQueue({ queue: 1, initialCostMs: 5 });
        admission.offer({ id: 1, worth: 2, deadlineAt: 1_000, costKey: "k" }, 0);
        expect(admission.offer({ id: 2, worth: 1, deadlineAt: 1_000, costKey: "k" }, 0)).toEqual([
            { kind: "refuse", id: 2, reason: "queueFull" },
        ]);
        expect(admission.offer({ id: 3, worth: 9, deadlineAt: 1_000, costKey: "k" }, 0)).toEqual([
            { kind: "refuse", id: 1, reason: "evicted" },
        ]);
        expect(admission.setGranted(1, 1)).toEqual([{ kind: "run", id: 3 }]);
    });
});
