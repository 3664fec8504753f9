import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { ConnectionPool } from "../src/connection-pool.js";
import { FakeEndpoints } from "./fake-endpoints.js";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function createPool(limit: () => number): ConnectionPool {
    const ignore = (): void => undefined;
    return new ConnectionPool({
        address: { id: "a", group: "orders", host: "10.0.0.1", port: 1 },
        connector: new FakeEndpoints(["a"]),
        clock: { now: () => performance.now(), wallClock: () => Date.now() },
        limit,
        averageMs: () => 5,
        overdueMs: () => 150,
        isReserved: () => false,
        events: {
            answered: ignore,
            opening: ignore,
            connected: ignore,
            connectFailed: ignore,
            closed: ignore,
            demandChanged: ignore,
        },
    });
}

// Pattern: hosts join, and the connections of an endpoint move to them. Guards against former holders that keep a
// connection for seconds or for good, so that the endpoint refuses those of the new holders.
test("idle connections beyond a smaller limit are closed at the next check", async () => {
    let limit = 5;
    const pool = createPool(() => limit);
    pool.warmUp(5);
    await vi.advanceTimersByTimeAsync(50);
    expect(pool.size).toBe(5);
    limit = 2;
    pool.closeIdle(1);
    expect(pool.size).toBe(2);
    limit = 0;
    pool.closeIdle(1);
    expect(pool.size).toBe(0);
});
