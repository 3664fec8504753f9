import { expect, test } from "vitest";
import { Simulation } from "./simulation.js";

// Guards against an endpoint whose slots a dead host goes on managing until it is removed hours later.
test("a host that stops renewing is reported to the others, and again when it is back", () => {
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
