import { describe, expect, it } from "vitest";
import { EndpointProber } from "../src/endpoint-prober.js";
import type { Pool } from "../src/pool.js";
import type { PositionTracker } from "../src/position-tracker.js";

interface Setup {
    readonly prober: EndpointProber;
    readonly silent: number[];
    readonly stalled: number[];
    now: number;
}

function setup(pool: Partial<Pool>, read: () => boolean): Setup {
    const state = { now: 0, silent: [] as number[], stalled: [] as number[] };
    const prober = new EndpointProber({
        pools: new Map([["a", pool as Pool]]),
        positions: { queriedAt: () => undefined } as unknown as PositionTracker,
        clock: () => state.now,
        schedule: () => () => undefined,
        read,
        silent: (_pool, forMs) => state.silent.push(forMs),
        stalled: (_pool, forMs) => state.stalled.push(forMs),
    });
    return Object.assign(state, { prober });
}

describe("EndpointProber", () => {
    it("discards a probe that could not start, which would otherwise count as silence forever", () => {
        const state = setup({ idle: () => 1 }, () => false);
        for (state.now = 0; state.now < 1_000; state.now += 100) {
            state.prober.probe(0);
        }
        expect(state.silent).toEqual([]);
    });

    it("does not report silence for a probe that was just sent when the view changes several times", () => {
        const state = setup({ idle: () => 1 }, () => true);
        for (const now of [0, 3, 6, 9]) {
            state.now = now;
            state.prober.probe(0);
        }
        expect(state.silent).toEqual([]);
        state.now = 100;
        state.prober.probe(0);
        expect(state.silent).toEqual([100]);
    });

    it("reports an endpoint whose connections are all busy and hang, since no idle one is left for a probe", () => {
        const state = setup({ idle: () => 0, busy: () => 2, lastAnswerAt: () => 0 }, () => true);
        state.now = 299;
        state.prober.probe(0);
        expect(state.stalled).toEqual([]);
        state.now = 300;
        state.prober.probe(0);
        expect(state.stalled).toEqual([300]);
    });
});
