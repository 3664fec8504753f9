import { CustomerDirectory } from "@medlarledge/customers";
import { type EndpointRecord, EndpointRole, EndpointState, type Host } from "@medlarledge/protocol";
import { expect, test } from "vitest";
import { ConnectionPlans } from "../src/connection-plans.js";
import { planConnections, relayHostsFor } from "../src/connection-share.js";

function endpoint(id: string, dataCentre: string): EndpointRecord {
    const place = { host: "10.0.0.1", port: 1, slots: 2, born: 1, sequence: 1 };
    return { id, group: "orders", dataCentre, ...place, state: EndpointState.Active, role: EndpointRole.Replica };
}

function hosts(count: number): readonly Host[] {
    const addresses = { peerAddress: "", httpAddress: "", callerAddress: "", control: false, incarnation: "1" };
    return Array.from(
        { length: count },
        (_, index) => ({ id: `h${index}`, dataCentre: `d${index % 3}`, ...addresses }),
    );
}

// Guards against more connections than an endpoint accepts: 16 for 6 hosts, 41 for 7, 25 for 79, 16 for 550.
test.each([[16, 6], [41, 7], [25, 79], [16, 550], [142, 65]])(
    "the shares of an endpoint with %i connections and %i hosts stay within its limit",
    (limit, count) => {
        const plan = planConnections(endpoint("e", "d1"), limit, hosts(count));
        expect(plan.share * plan.holders.length).toBeLessThanOrEqual(limit - 2);
        expect(plan.holders.length).toBeGreaterThan(0);
    },
);

// Guards against a single holder, whose failure would make an endpoint unreachable, and against relaying between data
// centres.
test("a few hosts of the endpoint's data centre hold its connections when there are too many hosts", () => {
    const plan = planConnections(endpoint("e", "d1"), 25, hosts(79));
    expect(plan.holders).toHaveLength(4);
    expect(plan.holders.every(id => Number(id.slice(1)) % 3 === 1)).toBe(true);
});

// Guards against one host that has the connections of all endpoints.
test("the endpoints' holders are spread over the hosts", () => {
    const counts = new Map<string, number>();
    for (let index = 0; index < 60; index++) {
        for (const id of planConnections(endpoint(`e${index}`, "d1"), 25, hosts(79)).holders) {
            counts.set(id, (counts.get(id) ?? 0) + 1);
        }
    }
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(20);
    expect(counts.size).toBeGreaterThan(20);
});

// Guards against moving all connections when one host joins or leaves.
test("a host that leaves changes only the plans in which it is a holder", () => {
    const before = hosts(79);
    const after = before.filter(host => host.id !== "h4");
    for (let index = 0; index < 60; index++) {
        const former = planConnections(endpoint(`e${index}`, "d1"), 25, before).holders;
        const present = planConnections(endpoint(`e${index}`, "d1"), 25, after).holders;
        if (!former.includes("h4")) {
            expect(present).toEqual(former);
        }
    }
});

// Guards against relaying all orders to the first holder of an endpoint while the other three are idle (grown quiet-1).
test("hosts without connections spread their orders over the holders", () => {
    const plan = planConnections(endpoint("e", "d1"), 25, hosts(79));
    const first = new Map<string, number>();
    for (const host of hosts(79)) {
        const [holder = ""] = relayHostsFor(host, "e", plan, hosts(79)).all;
        first.set(holder, (first.get(holder) ?? 0) + 1);
    }
    expect(first.size).toBe(4);
    expect(Math.max(...first.values())).toBeLessThan(35);
});

// Guards against requests of an isolated host that wait for hosts beyond the network partition (zone_cut, trouble-1).
test("an isolated host relays only to holders in its own data centre", () => {
    const entries = hosts(6);
    const [self] = entries;
    if (self === undefined) {
        throw new Error("there are no hosts");
    }
    const { all, near } = relayHostsFor(self, "e", planConnections(endpoint("e", "d1"), 16, entries), entries);
    expect([...all].sort()).toEqual(["h1", "h2", "h3", "h4", "h5"]);
    expect(near).toEqual(["h3"]);
});

// Guards against new processes that get no connections after a power loss, while endpoints still count those of the
// former processes (herd_kill with power).
test("a new process takes half of its share at first", () => {
    const [self] = hosts(6);
    if (self === undefined) {
        throw new Error("no host");
    }
    const plans = new ConnectionPlans(self, 1_000);
    plans.hostsChanged(hosts(3));
    const routing = {
        number: 1,
        routes: new Map(),
        groups: new Map([["orders", { connections: 26, syncReplicas: 0 }]]),
        customers: undefined,
        transactionIdleMs: 3_000,
    };
    expect(plans.share(endpoint("e", "d1"), routing, 1_100)).toBe(4);
    expect(plans.share(endpoint("e", "d1"), routing, 3_000)).toBe(8);
    plans.hostsChanged(hosts(6));
    expect(plans.share(endpoint("e", "d1"), routing, 3_000)).toBe(4);
    expect(plans.relays(endpoint("e", "d1"), routing, false, 3_000)).toHaveLength(5);
    expect(plans.relays(endpoint("e", "d1"), routing, true, 3_000)).toEqual(["h3"]);
});

// Guards against small pools in which a customer's connections are replaced before their next use (74 customers).
test.each([[56, 63, 3, 18], [28, 69, 2, 13], [56, 2, 2, 27], [56, 16, 16, 3], [3, 5, 1, 1]])(
    "with customers, %i connections and %i hosts, %i holders have %i connections each",
    (limit, count, holders, share) => {
        const plan = planConnections(endpoint("e", "d1"), limit, hosts(count), true);
        expect(plan.holders).toHaveLength(holders);
        expect(plan.share).toBe(share);
    },
);

// Guards against opening connections for one customer at every holder of an endpoint.
test("all hosts send a customer's orders to the same holder, and it runs them itself", () => {
    const entries = hosts(63);
    const groups = new Map([["orders", { connections: 56, syncReplicas: 0 }]]);
    const customers = new CustomerDirectory([]);
    const routing = { number: 1, routes: new Map(), groups, customers, transactionIdleMs: 3_000 };
    const firsts = Array.from({ length: 74 }, (_, customer) => {
        const chosen = entries.map(self => {
            const plans = new ConnectionPlans(self, 0);
            plans.hostsChanged(entries);
            // The share is 0 at first: the holders before may still close their connections.
            plans.share(endpoint("e", "d1"), routing, 0);
            const own = plans.share(endpoint("e", "d1"), routing, 10_000) > 0;
            const preferred = plans.preferredRelays(endpoint("e", "d1"), routing, false, 10_000, `c${customer}`);
            const all = plans.relays(endpoint("e", "d1"), routing, false, 10_000, `c${customer}`);
            return own ? preferred[0] ?? self.id : all[0];
        });
        return [...new Set(chosen)];
    });
    expect(firsts.every(({ length }) => length === 1)).toBe(true);
    expect(new Set(firsts.flat()).size).toBe(3);
});
