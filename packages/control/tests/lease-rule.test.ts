import { describe, expect, test } from "vitest";
import type { SimulationOptions } from "./fixtures.js";
import { Simulation } from "./simulation.js";

/** Number of schedules generated over all batches; the requirement is at least 5,000. */
const SCHEDULES = 5_000;
const BATCHES = 5;
const FIRST_SEED = 20_000;

interface Outcome {
    readonly violations: readonly string[];
    readonly startedTerms: number;
    readonly elections: number;
}

/** Runs one schedule with crashes, network partitions, stalls, restarts and leader changes at random times. */
function runSchedule(seed: number, options: Partial<SimulationOptions> = {}): Outcome {
    const databases = ["orders", "dealers"];
    // 2.4 % each way: two clocks drift apart by at most the margin of 20 ms over a lease of 400 ms.
    const network = { maxDelayMs: 30, loss: 0.05, drift: 0.024 };
    const simulation = new Simulation({ seed, hosts: 4, databases, ...network, ...options });
    const { random } = simulation;
    const violations: string[] = [];
    simulation.start();
    simulation.afterEvent = () => violations.push(...simulation.violations());
    let elections = 1;
    for (let fault = 0; fault < 8; fault++) {
        simulation.run(random() * 400);
        const database = databases[Math.floor(random() * databases.length)]!;
        const primary = simulation.started.get(database)?.at(-1)?.primary ?? "a";
        const id = random() < 0.7 ? primary : ["a", "b", "c"][Math.floor(random() * 3)]!;
        const endpoint = simulation.endpoint(database, id);
        const simulated = simulation.hosts[Math.floor(random() * simulation.hosts.length)]!;
        const kind = Math.floor(random() * 7);
        if (kind === 0) {
            endpoint.alive = !endpoint.alive;
        }
        else if (kind === 1) {
            simulation.hosts.forEach(({ host }) => random() < 0.7 && endpoint.isolatedFrom.add(host.id));
        }
        else if (kind === 2) {
            simulated.stalledUntil = simulation.now + random() * 1_500;
        }
        else if (kind === 3) {
            simulation.restart(simulated);
        }
        else if (kind === 4) {
            const lost = simulated.host.id;
            simulation.lose = (to) => to === lost;
        }
        else if (kind === 5) {
            endpoint.promotable = !endpoint.promotable;
        }
        else {
            simulation.isolateLeader();
            // A follower grants no vote within electionMs of its own clock after its last contact with the leader.
            simulation.run(300 / 0.976 + random() * 300);
            simulation.elect(elections++ % 3, random() * 1_000);
        }
    }
    simulation.run(1_000);
    const startedTerms = [...simulation.started.values()].reduce((sum, terms) => sum + terms.length, 0);
    return { violations, startedTerms, elections };
}

describe("no host acknowledges under a term after a later one has started", () => {
    test.each(Array.from({ length: BATCHES }, (_, batch) => batch))("generated schedules, batch %i", (batch) => {
        let startedTerms = 0;
        let elections = 0;
        const size = SCHEDULES / BATCHES;
        for (let index = 0; index < size; index++) {
            const seed = FIRST_SEED + batch * size + index;
            const outcome = runSchedule(seed);
            expect(outcome.violations, `seed ${seed}`).toEqual([]);
            startedTerms += outcome.startedTerms;
            elections += outcome.elections;
        }
        // Guards against schedules that do not exercise the rule: two first terms each, and failovers beyond them.
        expect(startedTerms).toBeGreaterThan(3 * size);
        expect(elections).toBeGreaterThan(1.5 * size);
    });
});

describe("the check detects violations", () => {
    const found = (options: Partial<SimulationOptions>): number => {
        const seeds = Array.from({ length: 300 }, (_, index) => FIRST_SEED + index);
        return seeds.filter((seed) => runSchedule(seed, options).violations.length > 0).length;
    };

    test("when the leader does not wait for leases", () => {
        // The leader treats a lease of 400 ms as expired after 150 ms, and a new leader waits only 200 ms.
        expect(found({ leader: { driftMarginMs: -250 } })).toBeGreaterThan(0);
    });

    test("when the hosts' margin is negative", () => {
        expect(found({ hostMarginMs: -400 })).toBeGreaterThan(0);
    });
});
