import { expect, test } from "vitest";
import { Simulation } from "./simulation.js";

// Guards against a failed host that stays the slot manager of an endpoint until it is removed hours later.
test("a host that stops renewing is reported to the others as silent until it renews again", () => {
    const simulation = new Simulation({ seed: 7, hosts: 3, databases: ["orders"] });
    const told = new Map<string, readonly string[]>();
    simulation.lose = (to, message) => {
        if (message.kind === "silentHosts") {
            told.set(to, message.ids);
        }
        return false;
    };
    simulation.start();
    simulation.run(2_000);
    expect([...told.values()].flat()).toEqual([]);
    const silent = simulation.hosts[2]!;
    silent.stalledUntil = Number.MAX_SAFE_INTEGER;
    simulation.run(2_000);
    expect(told.get("h1")).toEqual([silent.host.id]);
    silent.stalledUntil = 0;
    simulation.run(2_000);
    expect(told.get("h1")).toEqual([]);
});

// Guards against a stopped host that keeps its share of the connections for two hours, and that the next leader treats
// as silent, so that the other hosts wait for its slots.
test("a host that leaves in order is no longer registered, also for the next leader", () => {
    const simulation = new Simulation({ seed: 7, hosts: 3, databases: ["orders"] });
    simulation.start();
    const leaving = simulation.hosts[2]!;
    leaving.stalledUntil = Number.MAX_SAFE_INTEGER;
    const { id, incarnation } = leaving.host;
    const requestId = simulation.request("leaveHost", { id, incarnation });
    simulation.run(200);
    expect(simulation.replies.get(requestId)).toMatchObject({ ok: true });
    simulation.elect(1);
    simulation.run(2_000);
    const status = simulation.status();
    expect(status.hosts.map(host => host.id)).not.toContain(id);
    expect(status.silentHosts).toEqual([]);
});
