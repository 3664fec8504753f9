import { StandInEndpoint, type StandInOptions } from "@medlarledge/testing";
import { createServer, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { type Credentials, type Frame, messages, PostgresConnector, ShortConnection } from "../src/index.js";
import { eventually } from "./listener-fixture.js";

const TIMEOUT_MS = 5_000;
let endpoint: StandInEndpoint;

async function start(options: StandInOptions = {}): Promise<void> {
    endpoint = new StandInEndpoint(options);
    await endpoint.start();
}

function connect(credentials: Partial<Credentials> = {}, timeoutMs = TIMEOUT_MS) {
    const connector = new PostgresConnector(() => ({ user: "u", ...credentials }));
    return connector.connect({ ...endpoint.endpoint, sequence: 1 }, timeoutMs);
}

afterEach(() => endpoint.crash());

describe("PostgresConnector", () => {
    it.each(["password", "md5", "scram"] as const)(
        "authenticates with %s, and reports a wrong password",
        async (method) => {
            await start({ authentication: { method, password: "sesame" } });
            const connected = await connect({ password: "sesame" });
            expect(connected.ok).toBe(true);
            const refused = await connect({ password: "wrong" });
            expect(refused).toMatchObject({ ok: false, error: { kind: "rejected", sqlstate: "28P01" } });
            expect(await connect()).toMatchObject({ ok: false, error: { kind: "protocol" } });
        },
    );

    it("hands over raw messages in both directions", async () => {
        await start();
        const connected = await connect();
        if (!connected.ok) {
            throw new Error(connected.error.kind);
        }
        const { connection } = connected;
        expect(connection.parameters.get("server_version")).toContain("16");
        expect(connection.processId).toBeGreaterThan(0);
        const received: Frame[] = [];
        const closed = new Promise<string>((resolve) => {
            connection.setHandler({
                frames: (frames) => received.push(...frames),
                drained: () => undefined,
                closed: resolve,
            });
        });
        connection.send(Buffer.concat([messages.query("SELECT 1"), messages.query("SELECT pg_is_in_recovery()")]));
        await eventually(() => received.length).toBe(8);
        const rows = received.flatMap((frame) => messages.firstColumnOf(frame) ?? []);
        expect(rows).toEqual(["1", "f"]);
        endpoint.closeConnections();
        expect(await closed).not.toBe("");
    });

    it("returns errors as values: limit, silence, refusal, closing", async () => {
        // Guards against an exception or a promise that never settles when an endpoint fails at a bad moment.
        await start({ connections: 1, connectDelayMs: 0 });
        expect((await connect()).ok).toBe(true);
        expect(await connect()).toMatchObject({ ok: false, error: { kind: "rejected", sqlstate: "53300" } });
        endpoint.closeConnections();
        endpoint.setFaults({ holdRequests: true });
        await eventually(() => endpoint.status().connections.open).toBe(0);
        expect(await connect({}, 30)).toMatchObject({ ok: false, error: { kind: "timeout" } });
        endpoint.crash();
        expect(await connect()).toMatchObject({ ok: false, error: { kind: "unreachable" } });
        const bytes = [
            Buffer.alloc(0),
            Buffer.from("HTTP/1.1 400 Bad Request\r\n"),
            messages.readyForQuery("I").subarray(0, 3),
        ];
        for (const answer of bytes) {
            const server = createServer((socket: Socket) => void socket.end(answer)).listen(0, "127.0.0.1");
            await new Promise((resolve) => server.once("listening", resolve));
            const { port } = server.address() as { port: number; };
            const target = { ...endpoint.endpoint, sequence: 1, port };
            const result = await new PostgresConnector(() => ({ user: "u" })).connect(target, TIMEOUT_MS);
            expect(result.ok).toBe(false);
            server.close();
        }
    });

    it("cancels a running statement", async () => {
        await start();
        const target = { ...endpoint.endpoint, sequence: 1 };
        const connector = new PostgresConnector(() => ({ user: "u" }));
        const result = await ShortConnection.use(
            {
                cancel: () => Promise.resolve(),
                connect: async (to, timeoutMs) => {
                    const connected = await connector.connect(to, timeoutMs);
                    if (connected.ok) {
                        const { processId, secretKey } = connected.connection;
                        void eventually(() => endpoint.status().slots.inUse).toBe(1)
                            .then(() => connector.cancel(to, processId, secretKey));
                    }
                    return connected;
                },
            },
            target,
            TIMEOUT_MS,
            (connection) => connection.query("SELECT pg_sleep(30)"),
        );
        expect(result).toMatchObject({ ok: false, error: { kind: "rejected", sqlstate: "57014" } });
    });
});
