import type { Host, SlotGrant, SlotRecall, SlotRequest } from "@medlarledge/protocol";
import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { chooseSlotManager, connectionShare, rendezvous, SLOT_OPTIONS, SlotHolder, SlotManager } from "../src/index.js";
import { Random } from "../src/random.js";

const SEED = 90_210;
const STEP_MS = 5;

interface Envelope {
    readonly at: number;
    readonly from: string;
    readonly to: string;
    readonly manager: number;
    readonly message: SlotRequest | SlotGrant | SlotRecall;
}

interface Scenario {
    readonly slots: number;
    readonly hosts: number;
    readonly lossPercent: number;
    readonly seed: number;
    /** Times at which the authority passes to the other manager. */
    readonly handovers: readonly number[];
    /** Times at which a holder stops and is replaced by a new incarnation. */
    readonly deaths: readonly number[];
    readonly load: number;
    /** The manager knows all hosts, so that it need not wait for old grants to expire once all have reported. */
    readonly peersKnown?: boolean;
}

interface Statistics {
    exceeded: number;
    /** Longest time in which nothing ran, in ms, after the first second. */
    longestIdleMs: number;
    served: readonly number[];
    busy: number;
}

/** Simulates managers and holders on a network with delay, loss and reordering; checks the sum of slots in use. */
function run(scenario: Scenario, steps: number, options = SLOT_OPTIONS): Statistics {
    const random = new Random(scenario.seed);
    const managers = [0, 1].map(() => new SlotManager("d", "e", scenario.slots, options));
    const holders = Array.from({ length: scenario.hosts }, () => new SlotHolder("d", "e", options));
    const names = holders.map((_, index) => `h${index}/0`);
    const ends: number[][] = holders.map(() => []);
    const queued = holders.map(() => 0);
    const served = holders.map(() => 0);
    let network: Envelope[] = [];
    const statistics = { exceeded: 0, longestIdleMs: 0, served, busy: 0 };
    const peers = scenario.peersKnown === true ? names : undefined;
    let busyAt = 0;
    const send = (now: number, from: string, to: string, manager: number, message: Envelope["message"]) => {
        if (random.below(100) >= scenario.lossPercent) {
            network.push({ at: now + 1 + random.below(scenario.lossPercent > 0 ? 60 : 3), from, to, manager, message });
        }
    };
    for (let step = 0; step < steps; step++) {
        const now = step * STEP_MS;
        const current = scenario.handovers.filter(at => at <= now).length % 2;
        // The former manager is notified of the handover late, but within the handover time.
        const authorised = scenario.handovers.some(at => at <= now && now < at + options.handoverMs - 2 * STEP_MS)
            ? [0, 1]
            : [current];
        for (const index of authorised) {
            managers[index]!.handle({ kind: "authorised", until: now + 2 * STEP_MS, peers }, now);
        }
        for (const death of scenario.deaths) {
            const index = death % scenario.hosts;
            if (now === Math.floor(death / STEP_MS) * STEP_MS) {
                holders[index] = new SlotHolder("d", "e", options);
                names[index] = `h${index}/${now}`;
            }
        }
        const due = network.filter(envelope => envelope.at <= now);
        network = network.filter(envelope => envelope.at > now);
        for (const { to, from, manager, message } of due) {
            const holder = holders[names.indexOf(to)];
            if (message.kind === "slotRequest") {
                for (const effect of managers[manager]!.handle({ kind: "request", from, message }, now)) {
                    send(now, "manager", effect.to, manager, effect.message);
                }
            }
            else if (message.kind === "slotGrant") {
                holder?.granted(message);
            }
            else {
                holder?.recalled(message);
            }
        }
        for (const [index, manager] of managers.entries()) {
            for (const effect of manager.handle({ kind: "tick" }, now)) {
                send(now, "manager", effect.to, index, effect.message);
            }
        }
        let running = 0;
        for (const [index, holder] of holders.entries()) {
            ends[index] = ends[index]!.filter(end => end > now);
            queued[index]! += random.below(1_000) < scenario.load ? 1 : 0;
            while (queued[index]! > 0 && ends[index].length < holder.allowed(now)) {
                ends[index].push(now + 5 + random.below(15));
                queued[index]!--;
                served[index]!++;
            }
            const work = queued[index]! + ends[index].length;
            const message = holder.update(`k${current}`, work, ends[index].length, now);
            if (message !== undefined) {
                send(now, names[index]!, "manager", current, message);
            }
            running += Math.max(ends[index].length, holder.allowed(now));
        }
        statistics.exceeded += running > scenario.slots ? 1 : 0;
        statistics.busy += ends.flat().length / scenario.slots;
        busyAt = ends.flat().length > 0 ? now : busyAt;
        statistics.longestIdleMs = Math.max(statistics.longestIdleMs, now < 1_000 ? 0 : now - busyAt);
    }
    return statistics;
}

const scenarios: fc.Arbitrary<Scenario> = fc.record({
    slots: fc.integer({ min: 1, max: 4 }),
    hosts: fc.integer({ min: 1, max: 7 }),
    lossPercent: fc.constantFrom(0, 1, 20, 60),
    seed: fc.nat(),
    handovers: fc.array(fc.integer({ min: 3_000, max: 9_000 }), { maxLength: 2 }).map(times =>
        times.sort((a, b) => a - b)
    ),
    deaths: fc.array(fc.integer({ min: 2_500, max: 9_000 }), { maxLength: 3 }),
    load: fc.constantFrom(20, 200, 900),
});

describe("an endpoint is overloaded when hosts together hold more than its slots", () => {
    test("the sum never exceeds its slots with message loss, reordering, restarts and changes of manager", () => {
        let served = 0;
        const property = fc.property(scenarios, scenario => {
            const statistics = run(scenario, 2_000);
            served += statistics.served.reduce((sum, count) => sum + count, 0);
            expect(statistics.exceeded).toBe(0);
        });
        fc.assert(property, { seed: SEED, numRuns: 300 });
        expect(served).toBeGreaterThan(10_000);
    });

    test("the sum never exceeds its slots when a new manager starts as soon as all hosts have reported", () => {
        const graceful = scenarios.map(scenario => ({ ...scenario, deaths: [], peersKnown: true }));
        const property = fc.property(graceful, scenario => {
            expect(run(scenario, 2_000).exceeded).toBe(0);
        });
        fc.assert(property, { seed: SEED, numRuns: 300 });
    });

    test("after a change of manager, work continues at once if all hosts are known, else within a second", () => {
        const scenario = { slots: 2, hosts: 6, lossPercent: 0, seed: 3, handovers: [3_000], deaths: [], load: 900 };
        expect(run({ ...scenario, peersKnown: true }, 1_000).longestIdleMs).toBeLessThanOrEqual(100);
        const { longestIdleMs } = run(scenario, 1_000);
        expect(longestIdleMs).toBeGreaterThan(100);
        expect(longestIdleMs).toBeLessThanOrEqual(1_000);
    });

    test("this check detects a new manager that does not wait for old grants to expire", () => {
        const { durationMs, overrunMs, driftMs } = SLOT_OPTIONS;
        const careless = { ...SLOT_OPTIONS, handoverMs: -durationMs - overrunMs - 2 * driftMs };
        // Hosts report to a new manager at once, so the fault only appears when several of these messages are lost.
        const exceeded = Array.from({ length: 60 }, (_, seed) => {
            const scenario = { slots: 2, hosts: 5, lossPercent: 60, seed, handovers: [3_000], deaths: [], load: 900 };
            return run(scenario, 800, careless).exceeded;
        });
        expect(Math.max(...exceeded)).toBeGreaterThan(0);
    });

    test("slots are shared evenly among hosts and stay busy under full load", () => {
        const scenario = { slots: 2, hosts: 6, lossPercent: 0, seed: 2, handovers: [], deaths: [], load: 900 };
        const { served, busy } = run(scenario, 6_000);
        expect(Math.min(...served) / Math.max(...served)).toBeGreaterThan(0.8);
        expect(busy / 6_000).toBeGreaterThan(0.6);
    });
});

function host(id: string, dataCentre = "a"): Host {
    const address = "127.0.0.1:1";
    return {
        id,
        dataCentre,
        incarnation: "1",
        peerAddress: address,
        httpAddress: address,
        callerAddress: address,
        control: false,
    };
}

const ENDPOINT = {
    id: "e",
    database: "d",
    dataCentre: "a",
    host: "127.0.0.1",
    port: 1,
    systemIdentifier: "1",
    sequence: 1,
    slots: 2,
    connections: 16,
};

describe("shares", () => {
    test("connections of all hosts together stay within the limit, with two reserved", () => {
        const property = fc.property(fc.integer({ min: 1, max: 60 }), fc.nat(100), (count, connections) => {
            const hosts = Array.from({ length: count }, (_, index) => host(`h${index}`));
            const shares = hosts.map(({ id }) => connectionShare({ ...ENDPOINT, connections }, hosts, id));
            expect(shares.reduce((sum, share) => sum + share, 0)).toBeLessThanOrEqual(Math.max(0, connections - 2));
        });
        fc.assert(property, { seed: SEED, numRuns: 500 });
        expect(connectionShare(ENDPOINT, [host("a")], "unknown")).toBe(0);
    });

    test("a host that leaves moves only the keys that it came first for, and keys spread evenly", () => {
        const hosts = Array.from({ length: 6 }, (_, index) => host(`h${index}`));
        const keys = Array.from({ length: 3_000 }, (_, index) => `seats/e${index}`);
        const counts = new Map<string, number>();
        for (const key of keys) {
            const first = rendezvous(key, hosts)[0]!;
            counts.set(first.id, (counts.get(first.id) ?? 0) + 1);
            const rest = rendezvous(key, hosts.filter(({ id }) => id !== "h3"))[0]!;
            expect(first.id === "h3" || rest.id === first.id).toBe(true);
        }
        expect(Math.min(...counts.values())).toBeGreaterThan(400);
    });

    test("the slot manager is in the endpoint's data centre when a host is there", () => {
        expect(chooseSlotManager(ENDPOINT, [host("x", "b"), host("y", "a")])?.id).toBe("y");
        expect(chooseSlotManager(ENDPOINT, [host("x", "b")])?.id).toBe("x");
        expect(chooseSlotManager(ENDPOINT, [])).toBeUndefined();
    });
});
