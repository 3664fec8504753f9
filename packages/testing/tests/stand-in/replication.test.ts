import { fenceEndpoint, PostgresConnector, promoteEndpoint, readEndpoint } from "@medlarledge/postgres";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { StandInEndpoint } from "../../src/index.js";
import { announced, eventually, Fixture, value } from "./fixture.js";

const connector = new PostgresConnector(() => ({ user: "control" }));
const TIMEOUT_MS = 5_000;

let fixture: Fixture;
let primary: StandInEndpoint;
let left: StandInEndpoint;
let right: StandInEndpoint;

beforeEach(async () => {
    fixture = new Fixture();
    primary = await fixture.endpoint({ id: "primary" });
    left = await fixture.endpoint({ id: "left", follow: primary.replicationAddress });
    right = await fixture.endpoint({ id: "right", follow: primary.replicationAddress });
});

afterEach(() => fixture.end());

async function write(endpoint: StandInEndpoint, ...keys: string[]): Promise<void> {
    const client = await fixture.client(endpoint);
    await client.query("CREATE TABLE IF NOT EXISTS t (key text primary key, value text)");
    for (const key of keys) {
        await client.query("INSERT INTO t VALUES ($1, 'x')", [key]);
    }
    await client.end();
}

const keys = (endpoint: StandInEndpoint): readonly string[] => endpoint.rows("t")?.map((row) => row.key) ?? [];

describe("replication of the stand-in", () => {
    it("copies the log with a lag, and replicas refuse writes", async () => {
        left.setLag(600_000);
        await write(primary, "a", "b");
        await eventually(() => keys(right)).toEqual(["a", "b"]);
        expect(right.rows("t")).toEqual(primary.rows("t"));
        expect(keys(left)).toEqual([]);
        left.setLag(0);
        await eventually(() => left.status().position).toBe(primary.status().position);
        const client = await fixture.client(left);
        await expect(client.query("INSERT INTO t VALUES ('c', 'x')")).rejects.toMatchObject({ code: "25006" });
        expect(await value(client, "SELECT count(*) FROM t")).toBe("2");
    });

    it("promotes once, and the others discard what the new primary does not have", async () => {
        // Guards the case of a replica that is ahead of the one promoted, and of the old primary that comes back.
        await write(primary, "a");
        await eventually(() => keys(left)).toEqual(["a"]);
        left.setLag(600_000);
        await write(primary, "lost");
        await eventually(() => keys(right)).toEqual(["a", "lost"]);
        const start = left.status().position;
        const first = await promoteEndpoint(connector, announced(left), TIMEOUT_MS);
        expect(first).toMatchObject({ role: "primary", timeline: 2, position: start });
        await write(left, "b");
        // A repeated promotion changes nothing and still reports where the term started.
        expect(await promoteEndpoint(connector, announced(left), TIMEOUT_MS)).toEqual(first);
        right.follow(left.replicationAddress);
        primary.follow(left.replicationAddress);
        for (const replica of [right, primary]) {
            await eventually(() => keys(replica)).toEqual(["a", "b"]);
            expect(replica.status()).toMatchObject({ role: "replica", timeline: 2 });
        }
        const reading = await readEndpoint(connector, announced(primary), TIMEOUT_MS);
        expect(reading).toMatchObject({ role: "replica", timeline: 2, position: left.status().position });
    });

    it("tells two promotions to the same timeline apart", async () => {
        await write(primary, "a");
        await eventually(() => [keys(left), keys(right)]).toEqual([["a"], ["a"]]);
        left.promote();
        right.promote();
        await write(left, "left");
        await write(right, "right");
        right.follow(left.replicationAddress);
        await eventually(() => keys(right)).toEqual(["a", "left"]);
    });

    it("fences a primary, and reads it", async () => {
        await write(primary, "a");
        expect(await fenceEndpoint(connector, announced(primary), TIMEOUT_MS)).toBe(true);
        await expect(write(primary, "b")).rejects.toMatchObject({ code: "25006" });
        expect(await readEndpoint(connector, announced(primary), TIMEOUT_MS)).toEqual({
            role: "primary",
            timeline: 1,
            position: primary.status().position,
            systemIdentifier: primary.endpoint.systemIdentifier,
        });
        expect(await promoteEndpoint(connector, announced(primary), TIMEOUT_MS)).toMatchObject({ timeline: 1 });
        primary.setFaults({ holdRequests: true });
        expect(await readEndpoint(connector, announced(primary), 50)).toBeUndefined();
        primary.crash();
        expect(await fenceEndpoint(connector, announced(primary), 50)).toBe(false);
    });
});
