import { expect, test } from "vitest";
import { Random, SheddingLimit } from "../src/index.js";

const HOLDERS = 11;
const CONNECTIONS = 5;
const SLOTS = 2;
const QUEUE = 16;
const WORK_MS = 10;
/** An order that waits longer at its holder is refused there. */
const MAX_WAIT_MS = 75;
const DURATION_MS = 10_000;
const CAPACITY_PER_S = (SLOTS * 1_000) / WORK_MS;

interface Outcome {
    readonly arrivals: number;
    readonly rejected: number;
    readonly served: number;
}

/** Holders that send orders to one endpoint, in steps of 1 ms. Without limits each uses all of its connections. */
function simulate(load: number, isLimited: boolean): Outcome {
    const random = new Random(7_411);
    const holders = Array.from({ length: HOLDERS }, () => ({
        limit: new SheddingLimit(),
        running: 0,
        waiting: [] as number[],
    }));
    const endpoint: { holder: number; endsAt: number; }[] = [];
    let [arrivals, rejected, served] = [0, 0, 0];
    for (let now = 0; now < DURATION_MS; now++) {
        for (const { holder } of endpoint.filter(({ endsAt }) => endsAt <= now)) {
            holders[holder]!.running -= 1;
            holders[holder]!.limit.answered();
            served += 1;
        }
        endpoint.splice(0, endpoint.length, ...endpoint.filter(({ endsAt }) => endsAt > now));
        for (let rest = (load * CAPACITY_PER_S) / 1_000; rest > 0; rest--) {
            if (random.unit() < rest) {
                holders[random.below(HOLDERS)]!.waiting.push(now);
            }
        }
        for (const [index, holder] of holders.entries()) {
            holder.waiting = holder.waiting.filter(since => now - since < MAX_WAIT_MS);
            const most = isLimited ? holder.limit.value(CONNECTIONS) : CONNECTIONS;
            while (holder.waiting.length > 0 && holder.running < most) {
                holder.waiting.shift();
                arrivals += 1;
                if (endpoint.length >= SLOTS + QUEUE) {
                    rejected += 1;
                    holder.limit.rejected(holder.running + 1, now);
                    continue;
                }
                holder.running += 1;
                const startsAt = Math.max(now, endpoint.at(-SLOTS)?.endsAt ?? now);
                endpoint.push({ holder: index, endsAt: startsAt + WORK_MS });
            }
        }
    }
    return { arrivals, rejected, served };
}

const BEST = (CAPACITY_PER_S * DURATION_MS) / 1_000;

// Pattern: many callers come at once, and eleven hosts that do not know of each other send to one endpoint. Guards
// against an endpoint that mostly rejects, which costs each order its time and the endpoint its processor.
test.each([[1], [1.7], [2.2], [5]])("at %d times the capacity few orders are rejected and goodput stays", load => {
    const { arrivals, rejected, served } = simulate(load, true);
    expect(served).toBeGreaterThanOrEqual(0.9 * BEST * Math.min(1, load));
    expect(rejected).toBeLessThanOrEqual(0.05 * arrivals);
});

test("without a limit most orders are rejected under overload", () => {
    const { arrivals, rejected } = simulate(5, false);
    expect(rejected).toBeGreaterThan(0.5 * arrivals);
});

test("the limit returns after the endpoint has answered for a while", () => {
    const limit = new SheddingLimit();
    limit.rejected(5, 0);
    expect(limit.value(5)).toBe(2);
    for (let answer = 0; answer < 3 * 96; answer++) {
        limit.answered();
    }
    expect(limit.value(5)).toBe(5);
});
