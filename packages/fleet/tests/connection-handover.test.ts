import { CustomerDirectory } from "@medlarledge/customers";
import type { Routing } from "@medlarledge/gateway";
import { type EndpointRecord, EndpointRole, EndpointState, type HostPlacement } from "@medlarledge/protocol";
import { expect, test } from "vitest";
import { ConnectionPlans } from "../src/connection-plans.js";

const DATA_CENTRES = 5;
const LIMIT = 58;
const CONTROL_CONNECTIONS = 2;
const STEP_MS = 50;
/** Hosts receive a list of hosts up to this late; their maintenance runs every 50 ms. */
const MAX_LIST_DELAY_MS = 150;

const ROUTING = {
    number: 1,
    routes: new Map(),
    groups: new Map([["orders", { connections: LIMIT, syncReplicas: 0 }]]),
    customers: undefined,
    transactionIdleMs: 3_000,
};

const ENDPOINTS: readonly EndpointRecord[] = Array.from({ length: 42 }, (_, index) => ({
    id: `e${index}`,
    group: "orders",
    dataCentre: `d${index % DATA_CENTRES}`,
    host: "10.0.0.1",
    port: 1,
    slots: 2,
    born: 1,
    sequence: 1,
    state: EndpointState.Active,
    role: EndpointRole.Replica,
}));

function placements(count: number): readonly HostPlacement[] {
    return Array.from({ length: count }, (_, index) => ({ id: `h${index}`, dataCentre: `d${index % DATA_CENTRES}` }));
}

/** Entry hosts that open and close connections as their plans say; each receives a list of hosts with its own delay. */
class Fleet {
    now = 0;
    moved = 0;
    readonly #plans = new Map<string, ConnectionPlans>();
    readonly #lists = new Map<string, readonly { readonly at: number; readonly hosts: readonly HostPlacement[]; }[]>();
    readonly #held = new Map<string, number>();
    readonly #routing: Routing;

    constructor(routing: Routing) {
        this.#routing = routing;
    }

    send(hosts: readonly HostPlacement[]): void {
        for (const [index, host] of hosts.entries()) {
            if (!this.#plans.has(host.id)) {
                this.#plans.set(host.id, new ConnectionPlans(host, this.now - 10_000));
            }
            const at = this.now + (index * 37) % MAX_LIST_DELAY_MS;
            this.#lists.set(host.id, [...this.#lists.get(host.id) ?? [], { at, hosts }]);
        }
    }

    run(ms: number): { readonly mostConnections: number; readonly fewestHolders: number; } {
        let mostConnections = 0;
        let fewestHolders = Infinity;
        for (const endAt = this.now + ms; this.now < endAt; this.now += STEP_MS) {
            this.#step();
            for (const { id } of ENDPOINTS) {
                const held = [...this.#plans.keys()].map(host => this.#held.get(`${host} ${id}`) ?? 0);
                mostConnections = Math.max(mostConnections, held.reduce((sum, count) => sum + count, 0));
                fewestHolders = Math.min(fewestHolders, held.filter(count => count > 0).length);
            }
        }
        return { mostConnections, fewestHolders };
    }

    #step(): void {
        for (const [host, plans] of this.#plans) {
            const due = (this.#lists.get(host) ?? []).filter(({ at }) => at <= this.now).at(-1);
            plans.hostsChanged(due?.hosts ?? []);
            for (const endpoint of due === undefined ? [] : ENDPOINTS) {
                const key = `${host} ${endpoint.id}`;
                const share = plans.share(endpoint, this.#routing, this.now);
                this.moved += Math.max(0, share - (this.#held.get(key) ?? 0));
                this.#held.set(key, share);
            }
        }
    }
}

// Pattern: 38 of 233 hosts join within two seconds. Guards against endpoints that refuse connections beyond their limit
// because old and new holders have them at the same time, and against endpoints that lose most of their holders.
test("connections move to joining hosts without exceeding an endpoint's limit", () => {
    const fleet = new Fleet(ROUTING);
    fleet.send(placements(195));
    fleet.run(1_000);
    const results = [205, 215, 225, 233].map(count => {
        fleet.send(placements(count));
        return fleet.run(500);
    });
    results.push(fleet.run(2_000));
    expect(Math.max(...results.map(({ mostConnections }) => mostConnections)))
        .toBeLessThanOrEqual(LIMIT - CONTROL_CONNECTIONS);
    expect(Math.min(...results.map(({ fewestHolders }) => fewestHolders))).toBeGreaterThanOrEqual(6);
});

// Pattern: hosts are restarted in turn. Guards against dividing all connections anew for each restarted host.
test("a list with the same hosts moves no connection", () => {
    const fleet = new Fleet(ROUTING);
    fleet.send(placements(195));
    fleet.run(1_000);
    const { moved } = fleet;
    fleet.send(placements(195));
    fleet.run(1_000);
    expect(fleet.moved).toBe(moved);
});

// Guards against the same where few holders have many connections of customers: 8 of 63 hosts are restarted in turn.
test("customers' connections move without exceeding an endpoint's limit", () => {
    const fleet = new Fleet({ ...ROUTING, customers: new CustomerDirectory([]) });
    fleet.send(placements(63));
    fleet.run(3_000);
    const results = Array.from({ length: 8 }, (_, index) => {
        fleet.send(placements(63).filter(({ id }) => id !== `h${index * 7}`));
        return fleet.run(700);
    });
    expect(Math.max(...results.map(({ mostConnections }) => mostConnections)))
        .toBeLessThanOrEqual(LIMIT - CONTROL_CONNECTIONS);
    expect(Math.min(...results.map(({ fewestHolders }) => fewestHolders))).toBeGreaterThanOrEqual(1);
});
