import type { DatabaseView, Endpoint, Host, ViewUpdate } from "@medlarledge/protocol";
import { chooseSlotManager } from "@medlarledge/routing";
import { expect, test } from "vitest";
import { SlotManagers } from "../src/slot-managers.js";
import { ViewTable } from "../src/view-table.js";

const PLACES = ["mechelen", "antwerp"];

function host(index: number): Host {
    const dataCentre = PLACES[index % 2] ?? "";
    const address = `127.0.0.1:${7_000 + index}`;
    const id = `${dataCentre}-${index}`;
    return {
        id,
        incarnation: "1",
        dataCentre,
        peerAddress: address,
        httpAddress: address,
        callerAddress: address,
        control: false,
    };
}

function database(index: number, sequence = 1): DatabaseView {
    const name = `database-${index}`;
    const endpoints = [...PLACES, "leuven"].map((dataCentre, place) => ({
        id: `${name}-${place}`,
        database: name,
        dataCentre,
        host: "127.0.0.1",
        port: 1 + place,
        systemIdentifier: `${index}${place}`,
        sequence,
        slots: sequence,
        connections: 16,
        state: "active" as const,
    }));
    return { database: name, terms: [], endpoints };
}

function update(version: number, change: Partial<ViewUpdate>): ViewUpdate {
    return { kind: "viewUpdate", version, complete: false, databases: [], hosts: undefined, ...change };
}

function expectedOwn(view: ViewTable, id: string): readonly Endpoint[] {
    const endpoints = view.databases().flatMap(known => known.endpoints);
    return endpoints.filter(endpoint => chooseSlotManager(endpoint, view.liveHosts)?.id === id);
}

// Guards against a remembered choice that outlives a change of hosts, of silent hosts or of an endpoint: two hosts
// would manage the same slots, or none would.
test("the managed endpoints are those of a fresh choice after every change of the view", () => {
    const view = new ViewTable();
    const hosts = Array.from({ length: 8 }, (_, index) => host(index));
    const managers = hosts.map(({ id }) => ({ id, managers: new SlotManagers(view, id) }));
    const databases = Array.from({ length: 20 }, (_, index) => database(index));
    const check = (): void => {
        for (const known of managers) {
            expect(known.managers.own()).toEqual(expectedOwn(view, known.id));
        }
        for (const endpoint of view.databases().flatMap(known => known.endpoints)) {
            expect(managers[0]?.managers.managerOf(endpoint)).toEqual(chooseSlotManager(endpoint, view.liveHosts));
        }
    };
    const changes: readonly (() => unknown)[] = [
        () => undefined,
        () => view.apply(update(1, { complete: true, databases, hosts })),
        () => view.apply(update(2, { hosts: hosts.slice(1) })),
        () => view.silent(["antwerp-1", "mechelen-4"]),
        () => view.apply(update(3, { databases: [database(3, 2), database(30)] })),
        () => view.silent([]),
        () => view.apply(update(4, { hosts: hosts.filter(({ dataCentre }) => dataCentre === "antwerp") })),
    ];
    for (const change of changes) {
        change();
        check();
    }
});

// Guards against hashing all hosts' names for all endpoints at every tick: 550 hosts and 640 databases need more than
// one core for that.
test("the choice is not made again while the view stays the same", () => {
    const view = new ViewTable();
    view.apply(update(1, { complete: true, databases: [database(0)], hosts: [host(0), host(1)] }));
    const managers = new SlotManagers(view, "mechelen-0");
    const first = managers.own();
    expect(first.length).toBeGreaterThan(0);
    expect(managers.own()).toBe(first);
    expect(view.liveHosts).toBe(view.liveHosts);
});
