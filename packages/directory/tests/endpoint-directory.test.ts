import { type EndpointRecord, EndpointRole, EndpointState } from "@medlarledge/protocol";
import { expect, test } from "vitest";
import { EndpointDirectory } from "../src/index.js";

function record(changes: Partial<EndpointRecord> = {}): EndpointRecord {
    return {
        id: "i-1",
        group: "orders",
        dataCentre: "antwerp",
        host: "10.0.0.1",
        port: 8_080,
        slots: 2,
        born: 1_000,
        sequence: 1,
        state: EndpointState.Active,
        role: EndpointRole.Replica,
        ...changes,
    };
}

// Guards against new work for a leaving endpoint after an earlier announcement of it arrives late.
test("a late announcement does not make a leaving endpoint active again", () => {
    const directory = new EndpointDirectory();
    directory.merge(record({ sequence: 4 }));
    expect(directory.merge(record({ sequence: 6, state: EndpointState.Leaving }))).toBe("changed");
    expect(directory.merge(record({ sequence: 5 }))).toBe("ignored");
    expect(directory.record("i-1")?.state).toBe(EndpointState.Leaving);
});

// Guards against a restarted endpoint whose announcements are ignored because its sequence numbers start anew.
test("an endpoint that restarted under the same id replaces its former record", () => {
    const directory = new EndpointDirectory();
    directory.merge(record({ sequence: 40, state: EndpointState.Left }));
    expect(directory.merge(record({ born: 2_000, sequence: 1 }))).toBe("changed");
    expect(directory.currentEndpoints("orders")).toHaveLength(1);
});

// Guards against a delayed announcement that brings back a dead endpoint whose address another one has reused.
test("an address belongs to the endpoint that started last", () => {
    const directory = new EndpointDirectory();
    directory.merge(record());
    directory.merge(record({ id: "i-2", group: "stock", born: 2_000 }));
    expect(directory.currentEndpoints("orders")).toHaveLength(0);
    expect(directory.merge(record({ sequence: 9 }))).toBe("ignored");
    expect(directory.currentEndpoints("stock").map(({ id }) => id)).toEqual(["i-2"]);
});

// Guards against a flood of messages: an announcement without a change is not forwarded.
test("an announcement with only a newer sequence number is not reported as a change", () => {
    const directory = new EndpointDirectory();
    directory.merge(record());
    expect(directory.merge(record({ sequence: 2 }))).toBe("refreshed");
    expect(directory.merge(record({ sequence: 3, role: EndpointRole.Primary }))).toBe("changed");
});

// Guards against unbounded memory growth on a day with many restarts.
test("the number of records of endpoints that left is bounded", () => {
    const directory = new EndpointDirectory();
    for (let number = 0; number < 1_000; number++) {
        directory.merge(record({ id: `i-${number}`, port: number, state: EndpointState.Left }));
    }
    expect(directory.records().length).toBeLessThanOrEqual(256);
});

// Guards against a promotion order of a former leader that replaces the order of its successor.
test("an order with a lower fencing token is ignored", () => {
    const directory = new EndpointDirectory();
    expect(directory.order({ group: "orders", endpoint: "i-1", fence: 20 })).toBe(true);
    expect(directory.order({ group: "orders", endpoint: "i-2", fence: 10 })).toBe(false);
    expect(directory.orders()[0]?.endpoint).toBe("i-1");
});
