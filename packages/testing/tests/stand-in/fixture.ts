import type { Endpoint } from "@medlarledge/protocol";
import pg from "pg";
import { expect } from "vitest";
import { StandInEndpoint, type StandInOptions } from "../../src/index.js";

/** Stand-ins and clients of one test, all ended by `end`. */
export class Fixture {
    readonly #endpoints: StandInEndpoint[] = [];
    readonly #clients: pg.Client[] = [];

    async endpoint(options: StandInOptions = {}): Promise<StandInEndpoint> {
        const endpoint = new StandInEndpoint({ connectDelayMs: 0, ...options });
        await endpoint.start();
        this.#endpoints.push(endpoint);
        return endpoint;
    }

    async client(endpoint: StandInEndpoint, settings: pg.ClientConfig = {}): Promise<pg.Client> {
        const { host, port } = endpoint.endpoint;
        const client = new pg.Client({ host, port, user: "u", database: "d", ssl: false, ...settings });
        client.on("error", () => undefined);
        this.#clients.push(client);
        await client.connect();
        return client;
    }

    async end(): Promise<void> {
        this.#endpoints.forEach((endpoint) => endpoint.crash());
        await Promise.allSettled(this.#clients.map((client) => client.end()));
    }
}

export function announced(endpoint: StandInEndpoint): Endpoint {
    return { ...endpoint.endpoint, sequence: 1 };
}

export async function value(client: pg.Client, sql: string, parameters?: unknown[]): Promise<unknown> {
    const { rows } = await client.query<unknown[]>({ text: sql, values: parameters, rowMode: "array" });
    return rows[0]?.[0];
}

/** Waits for a state that must come; the limit only ends a test that has failed. */
export function eventually<T>(read: () => T | Promise<T>) {
    return expect.poll(read, { interval: 5, timeout: 20_000 });
}
