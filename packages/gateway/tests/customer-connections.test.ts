import type { ConnectResult, EndpointConnector } from "@medlarledge/statements";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { ConnectionPool } from "../src/connection-pool.js";

const CONNECT_MS = 12;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** One endpoint that accepts `limit` connections in all, and counts those beyond as refused. */
class LimitedEndpoint implements EndpointConnector {
    readonly opened: (string | undefined)[] = [];
    connections = 0;
    refused = 0;
    readonly #limit: number;

    constructor(limit: number) {
        this.#limit = limit;
    }

    async connect(_: unknown, customer: string | undefined): Promise<ConnectResult> {
        await new Promise(resolve => setTimeout(resolve, CONNECT_MS));
        if (this.connections >= this.#limit) {
            this.refused += 1;
            return { ok: false, failure: { kind: "tooMany" } };
        }
        this.opened.push(customer);
        this.connections += 1;
        const close = (): void => void (this.connections -= 1);
        return {
            ok: true,
            position: undefined,
            connection: { setHandler: () => undefined, send: () => undefined, close },
        };
    }
}

function createPool(connector: EndpointConnector, limit: () => number): ConnectionPool {
    const ignore = (): void => undefined;
    return new ConnectionPool({
        address: { id: "a", group: "orders", host: "10.0.0.1", port: 1 },
        connector,
        clock: { now: () => performance.now(), wallClock: () => Date.now() },
        limit,
        averageMs: () => 8,
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

/** Runs an order of a customer for 8 ms. Returns the owner of its connection, or "none" without a connection. */
async function run(pool: ConnectionPool, customer: string | undefined): Promise<string | undefined> {
    const connection = await pool.acquire({ priority: 1, patienceMs: 300, timeoutMs: 600, values: [], customer });
    if (connection === undefined) {
        return "none";
    }
    await new Promise(resolve => setTimeout(resolve, 8));
    pool.release(connection);
    return connection.owner;
}

// Guards against running a statement on another customer's connection (UNASKED 3,311 in quiet-1).
test("an order gets only a connection of its customer, also when all connections are another's", async () => {
    const endpoint = new LimitedEndpoint(4);
    const pool = createPool(endpoint, () => 4);
    pool.warmUp(1);
    const customers = Array.from({ length: 60 }, (_, index) => index % 7 === 6 ? undefined : `c${index % 7}`);
    const owners = Promise.all(customers.map(customer => run(pool, customer)));
    await vi.advanceTimersByTimeAsync(600);
    expect(await owners).toEqual(customers);
    expect(endpoint.refused).toBe(0);
});

// Guards against closing a connection that is needed again at once, for one that a rare caller needs a single time.
test("the connection that was used least is replaced, and those in use often stay", async () => {
    const endpoint = new LimitedEndpoint(2);
    const pool = createPool(endpoint, () => 2);
    for (let round = 0; round < 20; round++) {
        for (const customer of ["often", "often", `rare${round % 2}`]) {
            void run(pool, customer);
            await vi.advanceTimersByTimeAsync(50);
        }
    }
    expect(endpoint.opened.filter(customer => customer === "often")).toHaveLength(1);
});

// Guards against a burst of openings for a customer whose own connections are free sooner.
test("a second order of a customer waits for the connection in use", async () => {
    const endpoint = new LimitedEndpoint(8);
    const pool = createPool(endpoint, () => 8);
    void run(pool, "a");
    await vi.advanceTimersByTimeAsync(15);
    const second = run(pool, "a");
    await vi.advanceTimersByTimeAsync(30);
    expect(await second).toBe("a");
    expect(endpoint.opened).toEqual(["a"]);
});

// Pattern: hot_tenant. Guards against a small customer's order that waits behind a large customer's queue.
test("a customer with an idle connection is not held up by the queue of another one", async () => {
    const endpoint = new LimitedEndpoint(4);
    const pool = createPool(endpoint, () => 4);
    void run(pool, "small");
    await vi.advanceTimersByTimeAsync(40);
    const large = Promise.all(Array.from({ length: 100 }, () => run(pool, "large")));
    await vi.advanceTimersByTimeAsync(60);
    const startedAt = performance.now();
    const small = run(pool, "small").then(owner => ({ owner, tookMs: performance.now() - startedAt }));
    await vi.advanceTimersByTimeAsync(500);
    expect(await small).toEqual({ owner: "small", tookMs: 8 });
    await large;
});
