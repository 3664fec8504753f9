import { expect, test } from "vitest";
import { Isolation } from "../src/isolation.js";

// Guards against callers that stay with the hosts of a data centre that is cut off (zone_cut, 5 s).
test("a host that has lost all contacts elsewhere is isolated until the first one is back", () => {
    const isolation = new Isolation();
    expect(isolation.update({ reachable: 4, unreachable: 0 }, 0)).toBe(false);
    expect(isolation.update({ reachable: 0, unreachable: 4 }, 100)).toBe(false);
    expect(isolation.update({ reachable: 0, unreachable: 4 }, 260)).toBe(true);
    expect(isolation.isIsolated).toBe(true);
    expect(isolation.update({ reachable: 1, unreachable: 3 }, 300)).toBe(true);
    expect(isolation.isIsolated).toBe(false);
});

// Guards against hosts that turn callers away because one endpoint elsewhere died.
test("a single lost contact isolates nobody", () => {
    const isolation = new Isolation();
    isolation.update({ reachable: 0, unreachable: 1 }, 0);
    expect(isolation.update({ reachable: 0, unreachable: 1 }, 5_000)).toBe(false);
    isolation.update({ reachable: 1, unreachable: 5 }, 5_000);
    expect(isolation.update({ reachable: 1, unreachable: 5 }, 9_000)).toBe(false);
});

// Guards against flapping when contacts come and go.
test("a short loss of all contacts does not count", () => {
    const isolation = new Isolation();
    isolation.update({ reachable: 0, unreachable: 3 }, 0);
    isolation.update({ reachable: 2, unreachable: 1 }, 100);
    expect(isolation.update({ reachable: 0, unreachable: 3 }, 200)).toBe(false);
    expect(isolation.isIsolated).toBe(false);
});
