import type { StandInEndpoint } from "@medlarledge/testing";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { connectionString, fenceEndpoint, followPrimary, promoteEndpoint } from "../src/index.js";
import { eventually } from "./listener-fixture.js";
import { announced, connector, credentials, keys, PASSWORD, ReplicaGroup, run, TIMEOUT_MS } from "./replica-group.js";

let group: ReplicaGroup;
let old: StandInEndpoint;
let next: StandInEndpoint;
let replica: StandInEndpoint;

beforeEach(async () => {
    group = new ReplicaGroup();
    await group.start();
    ({ old, next, replica } = group);
});

afterEach(() => group.end());

const follow = (endpoint: StandInEndpoint, primary: StandInEndpoint, password = PASSWORD) =>
    followPrimary(connector, announced(endpoint), announced(primary), { user: "control", password }, TIMEOUT_MS);

describe("followPrimary", () => {
    it("makes a replica receive the rows of the new primary, also when sent again", async () => {
        // Guards against replicas that stay with the dead primary after a failover.
        old.crash();
        await promoteEndpoint(connector, announced(next), TIMEOUT_MS);
        expect(await follow(replica, next)).toBe(true);
        await run(next, "INSERT INTO t VALUES ('b', 'x')");
        await eventually(() => keys(replica)).toEqual(["a", "b"]);
        expect(await follow(replica, next)).toBe(true);
        expect(await run(replica, "SHOW primary_conninfo")).toEqual([
            [connectionString(announced(next), credentials)],
        ]);
        expect([next.status().followers, replica.status().role]).toEqual([1, "replica"]);
    });

    it("leaves a primary as it is, fenced or not", async () => {
        // Guards against a setting that takes effect unexpectedly when the server is started as a replica.
        await promoteEndpoint(connector, announced(next), TIMEOUT_MS);
        await fenceEndpoint(connector, announced(old), TIMEOUT_MS);
        for (const primary of [old, next]) {
            expect(await follow(primary, primary === old ? next : old)).toBe(false);
            expect(await run(primary, "SHOW primary_conninfo")).toEqual([[""]]);
            expect(primary.status().role).toBe("primary");
        }
        const { host, port } = next.endpoint;
        await run(
            old,
            `ALTER SYSTEM SET primary_conninfo = 'host=${host} port=${port}'`,
            "SELECT pg_reload_conf()",
        );
        expect(old.status().role).toBe("primary");
    });

    it("quotes the password, and a replica with a wrong one keeps trying", async () => {
        next.promote();
        await run(next, "INSERT INTO t VALUES ('b', 'x')");
        expect(await follow(replica, next, "wrong")).toBe(true);
        for (let attempt = 0; attempt < 2; attempt++) {
            await eventually(() => next.status().connections.open).toBe(0);
            next.resetCounts();
            await eventually(() => next.status().connections.maxOpen).toBe(1);
        }
        expect([keys(replica), next.status().followers]).toEqual([["a"], 0]);
        expect(await follow(replica, next)).toBe(true);
        await eventually(() => keys(replica)).toEqual(["a", "b"]);
        // As libpq defines it: a backslash before each quote and backslash.
        const endpoint = { ...announced(next), host: "127.0.0.1", port: 5_432 };
        expect(connectionString(endpoint, { user: "o'neil", password: String.raw`a\b'c d`, tls: {} })).toBe(
            String.raw`host='127.0.0.1' port='5432' user='o\'neil' password='a\\b\'c d' sslmode='require'`,
        );
        expect(connectionString(endpoint, { user: "u" })).toBe("host='127.0.0.1' port='5432' user='u'");
    });

    it("keeps trying until the new primary accepts connections", async () => {
        next.promote();
        await run(next, "INSERT INTO t VALUES ('b', 'x')");
        await next.refuseConnections(true);
        expect(await follow(replica, next)).toBe(true);
        expect(keys(replica)).toEqual(["a"]);
        await next.refuseConnections(false);
        await eventually(() => keys(replica)).toEqual(["a", "b"]);
    });

    it("reports an endpoint that does not answer, and a value that it refuses", async () => {
        expect(await follow(replica, next, "two\nlines")).toBe(false);
        replica.crash();
        expect(await follow(replica, next)).toBe(false);
    });
});
