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
    directory.merge(record({ sequence: 4 }), 0);
    expect(directory.merge(record({ sequence: 6, state: EndpointState.Leaving }), 0)).toBe("changed");
    expect(directory.merge(record({ sequence: 5 }), 0)).toBe("ignored");
    expect(directory.record("i-1")?.state).toBe(EndpointState.Leaving);
});

// Guards against a restarted endpoint whose announcements are ignored because its sequence numbers start anew.
test("an endpoint that restarted under the same id replaces its former record", () => {
    const directory = new EndpointDirectory();
    directory.merge(record({ sequence: 40, state: EndpointState.Left }), 0);
    expect(directory.merge(record({ born: 2_000, sequence: 1 }), 0)).toBe("changed");
    expect(directory.currentEndpoints("orders", 0)).toHaveLength(1);
});

// Guards against a delayed announcement that brings back a dead endpoint whose address another one has reused.
test("an address belongs to the endpoint that started last", () => {
    const directory = new EndpointDirectory();
    directory.merge(record(), 0);
    directory.merge(record({ id: "i-2", group: "stock", born: 2_000 }), 0);
    expect(directory.currentEndpoints("orders", 0)).toHaveLength(0);
    expect(directory.merge(record({ sequence: 9 }), 0)).toBe("ignored");
    expect(directory.currentEndpoints("stock", 0).map(({ id }) => id)).toEqual(["i-2"]);
});

// Guards against a flood of messages: an announcement without a change is not forwarded.
test("an announcement with only a newer sequence number is not reported as a change", () => {
    const directory = new EndpointDirectory();
    directory.merge(record(), 0);
    expect(directory.merge(record({ sequence: 2 }), 0)).toBe("refreshed");
    expect(directory.merge(record({ sequence: 3, role: EndpointRole.Primary }), 0)).toBe("changed");
});

// Guards against unbounded memory growth on a day with many restarts.
test("the number of records of endpoints that left is bounded", () => {
    const directory = new EndpointDirectory();
    for (let number = 0; number < 1_000; number++) {
        directory.merge(record({ id: `i-${number}`, port: number, state: EndpointState.Left }), 0);
    }
    expect(directory.records(0).length).toBeLessThanOrEqual(256);
});

// Guards against a promotion order of a former leader that replaces the order of its successor.
test("an order with a lower fencing token is ignored", () => {
    const directory = new EndpointDirectory();
    expect(directory.order({ group: "orders", endpoint: "i-1", fence: 20 })).toBe(true);
    expect(directory.order({ group: "orders", endpoint: "i-2", fence: 10 })).toBe(false);
    expect(directory.orders()[0]?.endpoint).toBe("i-1");
});

// Guards against an endpoint that gets the whole time to leave once more from each host that hears of it (DRAIN).
test("the time for which an endpoint has been leaving is passed on and counts from the earliest announcement", () => {
    const first = new EndpointDirectory();
    first.merge(record(), 0);
    first.merge(record({ sequence: 2, state: EndpointState.Leaving }), 1_000);
    first.merge(record({ sequence: 3, state: EndpointState.Leaving }), 2_200);
    const [sent] = first.records(4_000);
    expect(sent?.leavingMs).toBe(3_000);
    const second = new EndpointDirectory();
    expect(second.merge(record({ sequence: 3, state: EndpointState.Leaving, leavingMs: 500 }), 100_000)).toBe(
        "changed",
    );
    expect(second.merge({ ...record(), ...sent }, 100_000)).toBe("refreshed");
    expect(second.currentEndpoints("orders", 100_500)[0]?.leavingMs).toBe(3_500);
    expect(second.merge(record({ sequence: 3, state: EndpointState.Leaving }), 100_000)).toBe("ignored");
});

// Guards against a restarted endpoint that is not used because it left before.
test("an endpoint that is active again has not been leaving", () => {
    const directory = new EndpointDirectory();
    directory.merge(record({ state: EndpointState.Leaving }), 0);
    directory.merge(record({ born: 2_000 }), 9_000);
    expect(directory.records(10_000)[0]?.leavingMs).toBeUndefined();
    directory.merge(record({ born: 2_000, sequence: 2, state: EndpointState.Leaving }), 11_000);
    expect(directory.records(12_000)[0]?.leavingMs).toBe(1_000);
});

// Guards against an endpoint that stays "leaving" at hosts that have heard a later announcement of it than the host that
// it told of its end (docs/incidents/review-10-departed-replica.md).
test("an endpoint that leaves has left, whichever announcement of it was heard last", () => {
    const directory = new EndpointDirectory();
    directory.merge(record({ sequence: 40, state: EndpointState.Leaving }), 0);
    expect(directory.merge(record({ sequence: 3, state: EndpointState.Left }), 0)).toBe("changed");
    expect(directory.merge(record({ sequence: 40, state: EndpointState.Leaving }), 0)).toBe("ignored");
    expect(directory.currentEndpoints("orders", 0)).toEqual([]);
});

// Guards against commits that are lost with a replica, and against waiting for one whose log another endpoint has.
test("an endpoint that has left counts as departed until another one of the group takes its address", () => {
    const directory = new EndpointDirectory();
    directory.merge(record({ state: EndpointState.Left }), 0);
    directory.merge(record({ id: "i-2", host: "10.0.0.2" }), 0);
    expect(directory.departedEndpoints("orders").map(({ id }) => id)).toEqual(["i-1"]);
    directory.merge(record({ id: "i-3", group: "stock", born: 2_000 }), 0);
    expect(directory.departedEndpoints("orders").map(({ id }) => id)).toEqual(["i-1"]);
    directory.merge(record({ id: "i-4", born: 3_000 }), 0);
    expect(directory.departedEndpoints("orders")).toEqual([]);
    expect(directory.departedEndpoints("stock").map(({ id }) => id)).toEqual(["i-3"]);
});
