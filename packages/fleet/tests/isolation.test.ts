import { expect, test } from "vitest";
import { countRemoteContacts, IsolationDetector } from "../src/isolation.js";

// Guards against callers that stay with the hosts of a data centre that is cut off (zone_cut, 5 s).
test("a host that has lost all contacts elsewhere is isolated until the first one is back", () => {
    const isolation = new IsolationDetector();
    expect(isolation.update({ reachable: 4, unreachable: 0 }, 0)).toBe(false);
    expect(isolation.update({ reachable: 0, unreachable: 4 }, 100)).toBe(false);
    expect(isolation.update({ reachable: 0, unreachable: 4 }, 260)).toBe(true);
    expect(isolation.isIsolated).toBe(true);
    expect(isolation.update({ reachable: 1, unreachable: 3 }, 300)).toBe(true);
    expect(isolation.isIsolated).toBe(false);
});

// Guards against hosts that turn callers away because one endpoint elsewhere died.
test("a single lost contact isolates nobody", () => {
    const isolation = new IsolationDetector();
    isolation.update({ reachable: 0, unreachable: 1 }, 0);
    expect(isolation.update({ reachable: 0, unreachable: 1 }, 5_000)).toBe(false);
    isolation.update({ reachable: 1, unreachable: 5 }, 5_000);
    expect(isolation.update({ reachable: 1, unreachable: 5 }, 9_000)).toBe(false);
});

// Guards against flapping when contacts come and go.
test("a short loss of all contacts does not count", () => {
    const isolation = new IsolationDetector();
    isolation.update({ reachable: 0, unreachable: 3 }, 0);
    isolation.update({ reachable: 2, unreachable: 1 }, 100);
    expect(isolation.update({ reachable: 0, unreachable: 3 }, 200)).toBe(false);
    expect(isolation.isIsolated).toBe(false);
});

// Guards against two thirds of all hosts that turn their callers away because they lost the few control hosts that they
// are linked to, although all other hosts can be reached (primary_cut and core_cut on the grown deployments, scale-1).
test("a host that hears entry hosts of other data centres is not cut off", () => {
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
