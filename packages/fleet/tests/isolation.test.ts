import { expect, test } from "vitest";
import { countRemoteContacts, IsolationDetector } from "../src/isolation.js";

// Guards against callers that stay connected to hosts of an isolated data centre (zone_cut, 5 s).
test("a host that has lost all contacts elsewhere is isolated until the first one is back", () => {
    const isolation = new IsolationDetector();
    expect(isolation.update({ reachable: 4, unreachable: 0 }, 0)).toBe(false);
    expect(isolation.update({ reachable: 0, unreachable: 4 }, 100)).toBe(false);
    expect(isolation.update({ reachable: 0, unreachable: 4 }, 260)).toBe(true);
    expect(isolation.isIsolated).toBe(true);
    expect(isolation.update({ reachable: 1, unreachable: 3 }, 300)).toBe(true);
    expect(isolation.isIsolated).toBe(false);
});

// Guards against hosts that close their callers' connections because a single endpoint elsewhere failed.
test("a single lost contact does not count as isolation", () => {
    const isolation = new IsolationDetector();
    isolation.update({ reachable: 0, unreachable: 1 }, 0);
    expect(isolation.update({ reachable: 0, unreachable: 1 }, 5_000)).toBe(false);
    isolation.update({ reachable: 1, unreachable: 5 }, 5_000);
    expect(isolation.update({ reachable: 1, unreachable: 5 }, 9_000)).toBe(false);
});

// Guards against flapping when contacts are lost for a short time.
test("a short loss of all contacts does not count as isolation", () => {
    const isolation = new IsolationDetector();
    isolation.update({ reachable: 0, unreachable: 3 }, 0);
    isolation.update({ reachable: 2, unreachable: 1 }, 100);
    expect(isolation.update({ reachable: 0, unreachable: 3 }, 200)).toBe(false);
    expect(isolation.isIsolated).toBe(false);
});

// Guards against hosts that count as isolated because they lost the few control hosts to which they have links, although
// other hosts can be reached. Two thirds of all hosts then closed their callers' connections (primary_cut and core_cut on
// the grown deployments, scale-1).
test("a host with recent messages of entry hosts in other data centres is not isolated", () => {
    const isolation = new IsolationDetector();
    const endpoints = { reachable: 0, unreachable: 0 };
    const lost = countRemoteContacts({ endpoints, controlReached: [false, false], entriesReached: 0 });
    const heard = countRemoteContacts({ endpoints, controlReached: [false, false], entriesReached: 1 });
    isolation.update(lost, 0);
    expect(isolation.isSuspected).toBe(true);
    isolation.update(heard, 50);
    expect(isolation.isSuspected).toBe(false);
    expect(isolation.update(heard, 5_000)).toBe(false);
    expect(isolation.isIsolated).toBe(false);
    isolation.update(lost, 5_050);
    expect(isolation.update(lost, 5_250)).toBe(true);
});
