import { BackendType, type Frame, FrameReader, messages } from "@medlarledge/postgres";
import { parsePosition } from "@medlarledge/protocol";
import { connect } from "node:net";
import type pg from "pg";
import { serialize } from "pg-protocol";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { StandInEndpoint } from "../../src/index.js";
import { eventually, Fixture, value } from "./fixture.js";

let fixture: Fixture;
let endpoint: StandInEndpoint;
let client: pg.Client;

beforeEach(async () => {
    fixture = new Fixture();
    endpoint = await fixture.endpoint({ connections: 3 });
    client = await fixture.client(endpoint);
    await client.query("CREATE TABLE seats (key text primary key, value text)");
});

afterEach(() => fixture.end());

describe("statements of the stand-in", () => {
    it("runs the known forms in both protocols", async () => {
        await client.query("INSERT INTO seats VALUES ('a', '1'), ('b', 'it''s; -- two')");
        await client.query("insert into seats (key, value) values ($1, $2)", ["c", null]);
        expect(await value(client, "SELECT value FROM seats WHERE key = $1", ["b"])).toBe("it's; -- two");
        const done = await client.query("INSERT INTO seats VALUES ('a', '2') ON CONFLICT DO NOTHING");
        expect(done.rowCount).toBe(0);
        await client.query(
            "INSERT INTO seats VALUES ('a', '2') ON CONFLICT (key) DO UPDATE SET value = excluded.value",
        );
        await client.query("UPDATE seats SET value = $1 WHERE key = 'c' /* class='batch' */", ["3"]);
        await client.query("DELETE FROM seats WHERE key = 'b'");
        const { rows } = await client.query("SELECT key, value FROM seats ORDER BY key LIMIT $1", [5]);
        expect(rows).toEqual([{ key: "a", value: "2" }, { key: "c", value: "3" }]);
        expect(await value(client, "SELECT count(*) FROM seats")).toBe("2");
        expect(endpoint.rows("seats")).toHaveLength(2);
        await expect(client.query("INSERT INTO seats VALUES ('a', 'x')")).rejects.toMatchObject({ code: "23505" });
        await expect(client.query("SELECT avg(1)")).rejects.toMatchObject({ code: "0A000" });
        await expect(client.query("SELECT key FROM absent")).rejects.toMatchObject({ code: "42P01" });
        expect(await value(client, "SELECT 1")).toBe(1);
    });

    it("rolls back, and aborts a transaction after an error", async () => {
        // Guards against tests of transactions that pass only because nothing is ever undone.
        const other = await fixture.client(endpoint);
        await client.query("BEGIN");
        await client.query("INSERT INTO seats VALUES ('a', '1')");
        expect(await value(other, "SELECT count(*) FROM seats")).toBe("0");
        await expect(client.query("SELECT broken(")).rejects.toMatchObject({ code: "0A000" });
        await expect(client.query("SELECT 1")).rejects.toMatchObject({ code: "25P02" });
        expect((await client.query("COMMIT")).command).toBe("ROLLBACK");
        expect(await value(client, "SELECT count(*) FROM seats")).toBe("0");
        await expect(client.query("INSERT INTO seats VALUES ('a', '1'); INSERT INTO seats VALUES ('a', '2')")).rejects
            .toMatchObject({ code: "23505" });
        expect(await value(client, "SELECT count(*) FROM seats")).toBe("0");
        const before = endpoint.status().position;
        await client.query("BEGIN; INSERT INTO seats VALUES ('a', '1'); COMMIT");
        expect(await value(other, "SELECT count(*) FROM seats")).toBe("1");
        expect(endpoint.status().position).toBeGreaterThan(before);
    });

    it("gives a key to one of two transactions", async () => {
        const other = await fixture.client(endpoint);
        await client.query("BEGIN; INSERT INTO seats VALUES ('a', 'first')");
        await other.query("BEGIN; INSERT INTO seats VALUES ('a', 'second')");
        await client.query("COMMIT");
        await expect(other.query("COMMIT")).rejects.toMatchObject({ code: "23505" });
        expect(await value(other, "SELECT value FROM seats WHERE key = 'a'")).toBe("first");
    });

    it("keeps prepared statements until they are discarded", async () => {
        const insert = (key: string) =>
            client.query({ name: "put", text: "INSERT INTO seats VALUES ($1, 'x')", values: [key] });
        for (const key of ["a", "b", "c"]) {
            await insert(key);
        }
        expect(await value(client, "SELECT count(*) FROM seats")).toBe("3");
        await client.query("SET application_name = 'batch'");
        expect(await value(client, "SHOW application_name")).toBe("batch");
        await client.query("DISCARD ALL");
        expect(await value(client, "SHOW application_name")).toBe("");
        await expect(insert("d")).rejects.toMatchObject({ code: "26000" });
    });

    it("answers pipelined messages in order, and skips to the next Sync after an error", async () => {
        // Guards the proxy's packet of a write, its Sync and the position query that must come after the commit.
        const before = endpoint.status().position;
        const socket = connect(endpoint.endpoint.port, "127.0.0.1");
        const reader = new FrameReader(10_000);
        const received: Frame[] = [];
        socket.on("data", (chunk: Buffer) => received.push(...(reader.push(chunk) as Frame[])));
        const insert = [
            messages.parse("", "INSERT INTO seats VALUES ($1, 'x')"),
            serialize.bind({ values: ["a"] }),
            serialize.execute(),
        ];
        socket.write(Buffer.concat([
            serialize.startup({ user: "u" }),
            ...[...insert, messages.sync(), messages.query("SELECT pg_current_wal_insert_lsn()")],
            ...[...insert, ...insert, messages.sync(), messages.query("SELECT count(*) FROM seats")],
        ]));
        await eventually(() => received.filter(({ type }) => type === BackendType.ReadyForQuery)).toHaveLength(5);
        socket.destroy();
        const types = String.fromCharCode(...received.slice(7).map(({ type }) => type));
        expect(types).toBe("12CZTDCZ12EZTDCZ");
        const rows = received.flatMap((frame) => messages.firstColumnOf(frame) ?? []);
        expect(parsePosition(rows[0]!)).toBeGreaterThan(before);
        expect(rows[1]).toBe("1");
    });

    it("counts slots and connections, and cancels what waits or sleeps", async () => {
        const callers = [client, await fixture.client(endpoint), await fixture.client(endpoint)];
        await expect(fixture.client(endpoint)).rejects.toMatchObject({ code: "53300" });
        const sleeping = callers.map((caller) => caller.query("SELECT pg_sleep(30)").catch((error: unknown) => error));
        await eventually(() => endpoint.status().slots).toMatchObject({ inUse: 2, maxWanted: 3, maxInUse: 2 });
        for (const caller of callers) {
            const { processID, secretKey } = caller as unknown as { processID: number; secretKey: number; };
            connect(endpoint.endpoint.port, "127.0.0.1").end(messages.cancelRequest(processID, secretKey));
        }
        const errors = await Promise.all(sleeping);
        expect(errors.map((error) => (error as pg.DatabaseError).code)).toEqual(["57014", "57014", "57014"]);
        expect(endpoint.status()).toMatchObject({ slots: { inUse: 0 }, connections: { maxOpen: 3, refused: 1 } });
    });
});
