import type { ChangeResult } from "@medlarledge/protocol";
import { describe, expect, test } from "vitest";
import type { RequestName } from "../src/index.js";
import { announcement, host } from "./fixtures.js";
import { Simulation } from "./simulation.js";

const DIGEST_A = "a".repeat(64);
const DIGEST_B = "b".repeat(64);

function started(options: Partial<ConstructorParameters<typeof Simulation>[0]> = {}): Simulation {
    const simulation = new Simulation({ seed: 11, hosts: 4, databases: ["orders"], ...options });
    simulation.start();
    return simulation;
}

function change(number: number, digest = DIGEST_A, operator = "an") {
    return { number, digest, operator, files: [{ name: "a.jsonc", text: "{}" }] };
}

function applied(simulation: Simulation, body: unknown): ChangeResult {
    const id = simulation.request("apply", body);
    simulation.run(50);
    return simulation.replies.get(id)!.body as ChangeResult;
}

describe("suspicion", () => {
    test.each([["silent for one host", false], ["closed for one host", true]])(
        "a primary %s is not replaced",
        (_, closed) => {
            const simulation = started();
            if (closed) {
                const node = simulation.active!;
                const observation = { database: "orders", endpoint: "a", term: 1, suspicion: "closed" } as const;
                for (let index = 0; index < 100; index++) {
                    const message = { kind: "endpointObservation", ...observation } as const;
                    simulation.at(index * 100, () => simulation.handle(node, { kind: "message", from: "h0", message }));
                }
            }
            else {
                simulation.endpoint("orders", "a").isolatedFrom.add("h0");
            }
            simulation.run(10_000);
            expect(simulation.started.get("orders")).toHaveLength(1);
        },
    );

    test("one host alone causes no failover right after a change of leader, when no other lease is renewed yet", () => {
        const simulation = started();
        simulation.endpoint("orders", "a").isolatedFrom.add("h0");
        simulation.isolateLeader();
        simulation.run(400);
        simulation.hosts.slice(1).forEach((stalled) => stalled.stalledUntil = simulation.now + 600);
        simulation.elect(1);
        simulation.run(600);
        expect(simulation.status().hosts.filter(({ leaseMs }) => leaseMs > 0).map(({ id }) => id)).toEqual(["h0"]);
        simulation.run(3_000);
        expect(simulation.started.get("orders")).toHaveLength(1);
    });

    test("two of four hosts are not a majority, three are", () => {
        const simulation = started();
        const primary = simulation.endpoint("orders", "a");
        ["h0", "h1"].forEach((id) => primary.isolatedFrom.add(id));
        simulation.run(3_000);
        expect(simulation.started.get("orders")).toHaveLength(1);
        primary.isolatedFrom.add("h2");
        simulation.run(3_000);
        expect(simulation.started.get("orders")).toHaveLength(2);
    });

    test("jitter of 20 ms and 1 % loss over 10 minutes promote nothing", () => {
        const simulation = started({ maxDelayMs: 20, loss: 0.01 });
        simulation.run(10 * 60 * 1_000);
        expect(simulation.started.get("orders")).toHaveLength(1);
    });
});

describe("leases", () => {
    test("a host is registered before its first lease, and a restarted one waits for its former lease", () => {
        const simulation = started();
        const restarted = simulation.hosts[0]!;
        const formerUntil = restarted.lease.validUntil() - simulation.clockOf(restarted.clock);
        simulation.restart(restarted);
        simulation.run(formerUntil);
        expect(restarted.lease.validUntil()).toBe(Number.NEGATIVE_INFINITY);
        simulation.run(700);
        expect(restarted.lease.mayAcknowledge("orders", 1, simulation.clockOf(restarted.clock))).toBe(true);
        expect(simulation.active!.state.host("h0")?.incarnation).toBe("1'");
    });

    test("a leader without fresh quorum contact grants nothing", () => {
        const simulation = started();
        simulation.isolateLeader();
        simulation.run(300 + 400 + 10);
        const now = simulation.hosts.map(({ clock }) => simulation.clockOf(clock));
        simulation.hosts.forEach(({ lease }, index) => expect(lease.validUntil()).toBeLessThan(now[index]!));
    });

    test("a new leader grants nothing before its predecessors' entries are applied", () => {
        const simulation = started();
        const node = simulation.nodes[1]!;
        node.contactAt = simulation.now;
        const local = simulation.clockOf(node.clock);
        const ask = { sequence: 1, viewVersion: 99, configurationNumber: 0, configurationSince: 0, draining: false };
        node.leader.handle({ kind: "elected" }, local, 0, local);
        node.leader.handle({ kind: "hostConnected", host: host("h0") }, local, 0, local);
        const message = { kind: "renewLease", ...ask } as const;
        const effects = node.leader.handle({ kind: "message", from: "h0", message }, local, 0, local);
        expect(effects).toMatchObject([{ kind: "send", message: { kind: "leaseRefused", leader: "c1" } }]);
    });

    test("a host that drains and disconnects is removed, a silent one stays registered", () => {
        const simulation = started();
        simulation.hosts[0]!.draining = true;
        simulation.hosts[1]!.stalledUntil = Number.MAX_SAFE_INTEGER;
        simulation.run(300);
        const { leader } = simulation.active!;
        expect(leader).toBeDefined();
        simulation.handle(simulation.active!, { kind: "hostDisconnected", id: "h0", incarnation: "1" });
        simulation.hosts[0]!.stalledUntil = Number.MAX_SAFE_INTEGER;
        simulation.run(2_000);
        expect(simulation.active!.state.hosts().map(({ id }) => id)).toEqual(["h1", "h2", "h3"]);
    });
});

describe("views", () => {
    test("a change sends only the changed database; a host that missed it gets it with the next one", () => {
        const simulation = started({ databases: ["orders", "dealers"] });
        simulation.lose = (to, message) => to === "h0" && message.kind === "viewUpdate";
        const before = simulation.sent.length;
        simulation.request("announce", { ...announcement("orders", "b", 2), slots: 3 });
        simulation.run(60);
        const updates = simulation.sent.slice(before).flatMap(({ message }) =>
            message.kind === "viewUpdate" ? [message] : []
        );
        expect(updates.length).toBeGreaterThanOrEqual(4);
        updates.forEach((update) => {
            expect(update).toMatchObject({ complete: false, hosts: undefined, databases: [{ database: "orders" }] });
            expect(update.databases).toHaveLength(1);
        });
        simulation.lose = () => false;
        simulation.run(200);
        const slots = simulation.hosts[0]!.views.get("orders")!.endpoints.map((endpoint) => endpoint.slots);
        expect(slots).toEqual([2, 3, 2]);
    });
});

describe("configuration", () => {
    test("one of two concurrent changes with one number is accepted, and the other reply names its operator", () => {
        const simulation = started();
        const first = simulation.request("apply", change(1, DIGEST_A, "an"));
        const second = simulation.request("apply", change(1, DIGEST_B, "bo"));
        simulation.run(50);
        const results = [first, second].map((id) => simulation.replies.get(id)!.body as ChangeResult);
        expect(results.map((result) => result.outcome).sort()).toEqual(["accepted", "numberTaken"]);
        expect(results[0]).toMatchObject({ digest: results[1]!.digest, operator: results[1]!.operator });
        const winner = results[0]!.operator === "an" ? change(1) : change(1, DIGEST_B, "bo");
        expect(applied(simulation, winner).outcome).toBe("alreadyAccepted");
    });

    test("is sent again to a host whose renewal has an older number, and the status lists where it is missing", () => {
        const simulation = started();
        simulation.lose = (to, message) => to === "h2" && message.kind === "configurationUpdate";
        expect(applied(simulation, change(1)).outcome).toBe("accepted");
        simulation.run(200);
        expect(simulation.status().configuration).toMatchObject({
            missingAt: ["h2"],
            inForceEverywhereSince: undefined,
        });
        simulation.lose = () => false;
        simulation.run(600);
        expect(simulation.hosts.map(({ configuration }) => configuration)).toEqual([1, 1, 1, 1]);
        const status = simulation.status().configuration!;
        expect(status.missingAt).toEqual([]);
        expect(status.inForceEverywhereSince).toBeGreaterThan(status.acceptedAt);
    });

    test("with findings is refused and nothing is proposed", () => {
        const simulation = started({ leader: { validate: () => ["a.jsonc:1:1: unknown key"] } });
        const proposals = simulation.log.length;
        expect(applied(simulation, change(1))).toMatchObject({
            outcome: "invalid",
            findings: ["a.jsonc:1:1: unknown key"],
        });
        expect(simulation.log).toHaveLength(proposals);
    });

    test("an open request is answered as unavailable when the leader is deposed", () => {
        const simulation = started();
        const id = simulation.request("apply", change(1));
        simulation.handle(simulation.active!, { kind: "deposed" });
        expect(simulation.replies.get(id)).toMatchObject({ ok: false, body: { outcome: "unavailable" } });
    });
});

describe("requests", () => {
    test.each<[RequestName, unknown]>([
        ["announce", undefined],
        ["announce", { ...announcement("orders", "a", 9), port: 0 }],
        ["announce", { ...announcement("orders", "a", 9), state: "left" }],
        ["leave", { database: "orders", id: "a", systemIdentifier: "a", sequence: 1.5 }],
        ["apply", { ...change(1), digest: "A" }],
        ["apply", { ...change(0) }],
        ["status", { verbose: true }],
        ["history", { limit: -1 }],
        ["constructor" as RequestName, {}],
    ])("%s with a malformed body is refused", (name, body) => {
        const simulation = started();
        const commands = simulation.log.length;
        expect(simulation.replies.get(simulation.request(name, body))).toMatchObject({ ok: false });
        simulation.run(50);
        expect(simulation.log).toHaveLength(commands);
    });

    test("a repeated announcement needs no log entry, a leaving replica gets no new work and is marked left", () => {
        const simulation = started();
        const commands = simulation.log.length;
        const repeated = simulation.request("announce", announcement("orders", "b", 2));
        expect(simulation.replies.get(repeated)).toMatchObject({ ok: true, body: { outcome: "unchanged" } });
        expect(simulation.log).toHaveLength(commands);
        simulation.request("leave", { database: "orders", id: "b", systemIdentifier: "b", sequence: 3 });
        simulation.run(50);
        const seen = simulation.hosts.map(({ views }) => views.get("orders")!.endpoints[1]!.state);
        expect(seen).toEqual(["leaving", "leaving", "leaving", "leaving"]);
        simulation.run(61_000);
        expect(simulation.active!.state.database("orders")!.endpoints[1]!.state).toBe("left");
    });

    test("history names terms and changes", () => {
        const simulation = started();
        applied(simulation, change(1));
        const id = simulation.request("history", { limit: 1 });
        expect(simulation.replies.get(id)!.body).toMatchObject({ entries: [{ kind: "configuration", who: "an" }] });
    });

    test("the status of a healthy group lists no problems and can be encoded as JSON", () => {
        const simulation = started();
        const status = simulation.status();
        expect(status.problems).toEqual([]);
        expect(JSON.parse(JSON.stringify(status))).toMatchObject({ leader: "c0", deciding: true, silentHosts: [] });
    });
});
