import { describe, expect, test } from "vitest";
import type { LeaderOptions } from "../src/index.js";
import { announcement } from "./fixtures.js";
import { Simulation } from "./simulation.js";

/** Target for the failover gap at p99; simulated messages take 1 to 2 ms, as in the users' networks. */
const GAP_MS = 900;

function started(leader: Partial<LeaderOptions> = {}, databases: readonly string[] = ["orders"]): Simulation {
    const simulation = new Simulation({ seed: 7, hosts: 4, databases, leader });
    simulation.start();
    return simulation;
}

function kill(simulation: Simulation, database = "orders"): number {
    const { primary } = current(simulation, database);
    simulation.endpoint(database, primary).alive = false;
    return simulation.now;
}

function current(simulation: Simulation, database = "orders") {
    return simulation.started.get(database)!.at(-1)!;
}

function advanceTo(simulation: Simulation, database: string, id: string, position: number): void {
    const endpoint = simulation.endpoint(database, id);
    endpoint.reading = { ...endpoint.reading, position };
}

describe("a killed primary", () => {
    test("is replaced by the replica with the highest position, within the gap", () => {
        const simulation = started();
        advanceTo(simulation, "orders", "c", 120);
        const killedAt = kill(simulation);
        simulation.run(GAP_MS);
        expect(current(simulation)).toMatchObject({ term: 2, primary: "c" });
        expect(current(simulation).at - killedAt).toBeLessThan(GAP_MS);
        const status = simulation.status().databases[0]!;
        expect(status).toMatchObject({ primary: "c", term: 2, failover: undefined, unusedPrimaries: [] });
    });

    test("of one database does not delay or change another one's failover", () => {
        const simulation = started({}, ["orders", "dealers", "stock"]);
        const killedAt = kill(simulation, "orders");
        kill(simulation, "dealers");
        for (const id of ["b", "c"]) {
            simulation.endpoint("dealers", id).isolatedFrom.add("control");
        }
        simulation.run(GAP_MS);
        expect(current(simulation, "orders").at - killedAt).toBeLessThan(GAP_MS);
        expect(current(simulation, "dealers").term).toBe(1);
        expect(current(simulation, "stock").term).toBe(1);
        const waiting = simulation.status().databases.find(({ database }) => database === "dealers")!;
        expect(waiting.failover).toMatchObject({ step: "choosing" });
    });

    test("is replaced although one host is silent, after that host's lease and not before", () => {
        const simulation = started();
        const silent = simulation.hosts[3]!;
        silent.stalledUntil = Number.MAX_SAFE_INTEGER;
        kill(simulation);
        simulation.run(GAP_MS);
        expect(current(simulation).term).toBe(2);
        expect(simulation.clockOf(silent.clock)).toBeGreaterThan(silent.lease.validUntil());
        expect(simulation.status().silentHosts).toEqual(["h3"]);
        // The host that resumes gets no lease until it has received the new term.
        silent.stalledUntil = 0;
        simulation.afterEvent = () => expect(simulation.violations()).toEqual([]);
        simulation.run(1_000);
        expect(silent.lease.mayAcknowledge("orders", 2, simulation.clockOf(silent.clock))).toBe(true);
    });

    test("that restarts is not used, and the status lists it", () => {
        const simulation = started();
        kill(simulation);
        simulation.run(GAP_MS);
        simulation.endpoint("orders", "a").alive = true;
        simulation.run(6_000);
        const status = simulation.status();
        expect(status.databases[0]).toMatchObject({ primary: "b", unusedPrimaries: ["a"] });
        expect(status.problems.map(({ page }) => page)).toContain("docs/operators/unused-primary.md");
    });

    test("continues under a new term when no replica is left", () => {
        const simulation = started();
        kill(simulation);
        simulation.endpoint("orders", "b").alive = false;
        simulation.endpoint("orders", "c").alive = false;
        simulation.run(GAP_MS);
        expect(current(simulation).term).toBe(1);
        simulation.endpoint("orders", "a").alive = true;
        simulation.run(1_000);
        expect(current(simulation)).toMatchObject({ term: 2, primary: "a" });
    });
});

describe("the other replicas", () => {
    // Guards against replicas that keep following the failed primary: they serve no reads and cannot be promoted.
    test("follow the new primary, also one that was unreachable when the term started", () => {
        const simulation = started();
        simulation.endpoint("orders", "c").alive = false;
        kill(simulation);
        simulation.run(GAP_MS);
        expect(current(simulation)).toMatchObject({ term: 2, primary: "b" });
        const { timeline } = simulation.endpoint("orders", "b").reading;
        const late = simulation.endpoint("orders", "c");
        expect(late.reading.timeline).toBeLessThan(timeline);
        late.alive = true;
        simulation.run(6_000);
        expect(late.reading.timeline).toBe(timeline);
    });
});

describe("a primary that leaves", () => {
    // A leaving endpoint gets no new work, so without a replacement the database would accept no writes; and a
    // replica that has not caught up would lose acknowledged writes although nothing has failed.
    test("is replaced by a replica, which first has to reach its position", () => {
        const simulation = started();
        advanceTo(simulation, "orders", "a", 150);
        advanceTo(simulation, "orders", "b", 120);
        simulation.request("leave", { database: "orders", id: "a", systemIdentifier: "a", sequence: 2 });
        simulation.run(1_800);
        expect(current(simulation).term).toBe(1);
        expect(simulation.status().databases[0]?.failover?.waitsForEndpoints).toContain("b");
        advanceTo(simulation, "orders", "b", 150);
        simulation.run(500);
        expect(current(simulation)).toMatchObject({ term: 2, primary: "b" });
    });
});

describe("a lost message", () => {
    // Guards against a step that waits forever for a reply that was lost.
    test.each(["revoke", "revoked", "confirmEndpoint", "endpointObservation", "viewUpdate"] as const)(
        "%s does not stop the failover",
        (kind) => {
            const simulation = started();
            const lostAt = new Map<string, number>();
            simulation.lose = (to, message) => {
                const lost = message.kind === kind && !lostAt.has(to);
                if (lost) {
                    lostAt.set(to, simulation.now);
                }
                return lost;
            };
            kill(simulation);
            simulation.run(2_000);
            expect(lostAt.size).toBeGreaterThan(0);
            expect(current(simulation).term).toBe(2);
            simulation.hosts.forEach(({ views }) => expect(views.get("orders")?.terms.at(-1)?.start).toBe(100));
        },
    );
});

describe("a replica that fails during the failover", () => {
    test("before the selection: another replica is promoted", () => {
        const simulation = started();
        advanceTo(simulation, "orders", "c", 120);
        simulation.endpoint("orders", "c").alive = false;
        kill(simulation);
        simulation.run(GAP_MS);
        expect(current(simulation)).toMatchObject({ term: 2, primary: "b" });
    });

    test("at the promotion: the command is sent twice, then another one is promoted under a new term", () => {
        const simulation = started();
        simulation.endpoint("orders", "b").promotable = false;
        kill(simulation);
        simulation.run(GAP_MS);
        expect(current(simulation)).toMatchObject({ term: 3, primary: "c" });
        const sent = simulation.effects.filter((effect) =>
            effect.kind === "promoteEndpoint" && effect.endpoint === "b"
        );
        expect(sent).toMatchObject([{ term: 2 }, { term: 2 }]);
    });

    test("that was promoted by an abandoned attempt is not used once another one was chosen", () => {
        const simulation = started({ promoteTimeoutMs: 100 });
        simulation.endpoint("orders", "b").isolatedFrom.add("control");
        advanceTo(simulation, "orders", "b", 120);
        simulation.endpoint("orders", "b").reading = { ...simulation.endpoint("orders", "b").reading, role: "primary" };
        kill(simulation);
        simulation.run(GAP_MS);
        expect(current(simulation)).toMatchObject({ primary: "c" });
        simulation.endpoint("orders", "b").isolatedFrom.delete("control");
        simulation.run(6_000);
        expect(simulation.status().databases[0]).toMatchObject({ primary: "c", unusedPrimaries: ["b"] });
    });
});

describe("a change of leader", () => {
    // Interrupts each step once: the new leader has to detect and complete the failover of its predecessor.
    test.each(["revoking", "choosing", "beginning", "promoting", "starting"])("in step %s", (step) => {
        const simulation = started();
        let changed = false;
        simulation.afterEvent = () => {
            expect(simulation.violations()).toEqual([]);
            const last = simulation.effects.findLast(({ kind }) => kind === "event");
            if (!changed && last?.kind === "event" && reached(last.name, last.fields["step"], step)) {
                changed = true;
                simulation.isolateLeader();
                simulation.at(350, () => simulation.elect(1, 500));
            }
        };
        kill(simulation);
        simulation.run(4_000);
        expect(changed).toBe(true);
        const { term, primary } = current(simulation);
        expect(term).toBeGreaterThan(1);
        expect(["b", "c"]).toContain(primary);
        const primaries = ["b", "c"].filter((id) => simulation.endpoint("orders", id).reading.role === "primary");
        expect(primaries).toEqual([primary]);
    });

    function reached(name: string, step: unknown, wanted: string): boolean {
        return wanted === "revoking" ? name === "failover.start" : name === "failover.step" && step === wanted;
    }
});

describe("acknowledge: replica", () => {
    test("waits for every replica that has not left, and the status lists those", () => {
        let without: readonly string[] = [];
        const simulation = started({ durability: () => "replica", promoteWithout: () => without });
        advanceTo(simulation, "orders", "c", 120);
        simulation.endpoint("orders", "c").alive = false;
        kill(simulation);
        simulation.run(3_000);
        expect(current(simulation).term).toBe(1);
        const status = simulation.status();
        expect(status.databases[0]!.failover).toMatchObject({ step: "choosing", waitsForEndpoints: ["c"] });
        expect(status.problems.find(({ page }) => page.includes("failover"))!.text).toContain("endpoints c to answer");
        without = ["c"];
        simulation.run(500);
        expect(current(simulation)).toMatchObject({ term: 2, primary: "b" });
    });

    test("promotes the replica that holds the last acknowledged write once it answers", () => {
        const simulation = started({ durability: () => "replica" });
        advanceTo(simulation, "orders", "c", 120);
        simulation.endpoint("orders", "c").alive = false;
        kill(simulation);
        simulation.run(2_000);
        simulation.endpoint("orders", "c").alive = true;
        simulation.run(1_000);
        expect(current(simulation)).toMatchObject({ term: 2, primary: "c" });
    });

    test("counts a write that reaches a replica while the revocation runs", () => {
        const simulation = started({ durability: () => "replica" });
        simulation.hosts[3]!.stalledUntil = Number.MAX_SAFE_INTEGER;
        kill(simulation);
        simulation.run(150);
        // Read during the revocation, b and c are equal; the stalled host's lease is still running.
        advanceTo(simulation, "orders", "c", 120);
        simulation.run(GAP_MS);
        expect(current(simulation)).toMatchObject({ term: 2, primary: "c" });
    });
});

describe("the first term", () => {
    test("does not begin while two announced endpoints are primaries", () => {
        const simulation = new Simulation({ seed: 7, hosts: 3, databases: ["orders"] });
        const b = simulation.endpoint("orders", "b");
        b.reading = { ...b.reading, role: "primary" };
        simulation.start();
        simulation.run(3_000);
        expect(simulation.started.has("orders")).toBe(false);
        expect(simulation.status().problems.map(({ text }) => text).join(" ")).toContain("a, b");
        b.reading = { ...b.reading, role: "replica" };
        simulation.run(2_000);
        expect(current(simulation)).toMatchObject({ term: 1, primary: "a" });
    });

    test("does not begin before a second primary had time to announce itself", () => {
        const simulation = new Simulation({ seed: 7, hosts: 3, databases: ["orders"] });
        const b = simulation.endpoint("orders", "b");
        b.reading = { ...b.reading, role: "primary" };
        simulation.elect(0);
        simulation.run(100);
        simulation.request("announce", announcement("orders", "a", 1));
        simulation.run(300);
        simulation.request("announce", announcement("orders", "b", 1));
        simulation.run(3_000);
        expect(simulation.started.has("orders")).toBe(false);
    });
});
