import pg from "pg";
import { serialize } from "pg-protocol";
import { afterEach, describe, expect, it } from "vitest";
import type { CallerListenerOptions, Credentials } from "../src/index.js";
import { messages, PostgresConnector } from "../src/index.js";
import { TEST_CERTIFICATE } from "./certificate.js";
import { eventually, type Fixture, RawCaller, startListener } from "./listener-fixture.js";

const ENDPOINT = {
    id: "e",
    database: "orders",
    dataCentre: "d",
    host: "127.0.0.1",
    systemIdentifier: "1",
    sequence: 1,
    slots: 2,
    connections: 16,
};

let fixture: Fixture | undefined;

async function start(options?: Partial<CallerListenerOptions>): Promise<Fixture> {
    return fixture = await startListener(options);
}

function client(settings: pg.ClientConfig = {}): pg.Client {
    const created = new pg.Client({
        host: "127.0.0.1",
        port: fixture!.port,
        user: "ann",
        password: "secret",
        database: "orders",
        ssl: false,
        ...settings,
    });
    created.on("error", () => undefined);
    return created;
}

async function first(caller: pg.Client): Promise<unknown> {
    const { rows } = await caller.query<{ n: number; }>("SELECT 1");
    return rows[0]?.n;
}

afterEach(async () => {
    await fixture?.listener.close();
    fixture = undefined;
});

describe("CallerListener", () => {
    it("takes an unmodified client with start-up options", async () => {
        const { callers } = await start();
        const caller = client({ application_name: "shop", options: "-c medlarledge.session=TOKEN" });
        await caller.connect();
        expect([await first(caller), await first(caller)]).toEqual([1, 2]);
        const [connection] = callers;
        expect(connection).toMatchObject({ user: "ann", database: "orders", applicationName: "shop" });
        expect(connection?.options.get("medlarledge.session")).toBe("TOKEN");
        expect(caller).toMatchObject({ processID: 70_000, secretKey: -5 });
        await caller.end();
    });

    it("checks clear-text passwords, and a failing check refuses", async () => {
        await start({
            authenticate: (user, password) => {
                if (user === "broken") {
                    throw new Error("the directory is away");
                }
                return Promise.resolve(user === "ann" && password === "secret");
            },
        });
        const accepted = client();
        await accepted.connect();
        expect(await first(accepted)).toBe(1);
        await accepted.end();
        await expect(client({ password: "wrong" }).connect()).rejects.toMatchObject({ code: "28P01" });
        await expect(client({ user: "broken" }).connect()).rejects.toMatchObject({ code: "28P01" });
    });

    it("encrypts, refuses plain callers if told to, and survives bytes that are not TLS", async () => {
        // Guards against pg-gateway's own upgrade, whose TLS errors nobody listens to.
        const { faults, port } = await start({ tls: TEST_CERTIFICATE, requireTls: true, authenticate: () => true });
        const accepted = client({ ssl: { rejectUnauthorized: false } });
        await accepted.connect();
        expect(await first(accepted)).toBe(1);
        await expect(client().connect()).rejects.toMatchObject({ code: "28000" });
        const credentials: Credentials = { user: "u", password: "p", tls: { rejectUnauthorized: false } };
        const connected = await new PostgresConnector(() => credentials).connect({ ...ENDPOINT, port }, 5_000);
        expect(connected.ok).toBe(true);
        const raw = new RawCaller(port);
        raw.socket.write(serialize.requestSsl());
        expect(String(await raw.receives(1))).toBe("S");
        raw.socket.write("this is not a client hello");
        await raw.closed;
        const early = new RawCaller(port);
        early.socket.write(Buffer.concat([serialize.requestSsl(), Buffer.from("x")]));
        await early.closed;
        expect(faults).toHaveLength(2);
        expect(await first(accepted)).toBe(2);
        // The raw sockets are closed here; each caller's handler must hear of it through its TLS socket.
        await fixture!.listener.close();
        await eventually(() => fixture!.closed).toBe(2);
    });

    it("closes a TLS handshake that never begins", async () => {
        // Guards against sockets that stay for ever, because their refusal cannot be sent before the handshake.
        const { listener, port } = await start({ tls: TEST_CERTIFICATE, handshakeTimeoutMs: 30 });
        const raw = new RawCaller(port);
        raw.socket.write(serialize.requestSsl());
        await raw.closed;
        expect(listener.callers).toBe(0);
    });

    it("says when a slow caller takes more", async () => {
        const sent: boolean[] = [];
        let drained = 0;
        const { port } = await start({
            onCaller: (caller) => {
                caller.setHandler({ frames: () => undefined, drained: () => drained++, closed: () => undefined });
                while (sent.at(-1) !== false) {
                    sent.push(caller.send(Buffer.alloc(1_000_000)));
                }
            },
        });
        const raw = new RawCaller(port);
        raw.socket.write(serialize.startup({ user: "ann" }));
        await eventually(() => sent.at(-1)).toBe(false);
        await eventually(() => drained).toBe(1);
        raw.socket.destroy();
    });

    it("refuses callers beyond the limit, but not cancel requests", async () => {
        const { cancelled, listener, port } = await start({ maxCallers: 1 });
        const only = client();
        await only.connect();
        await expect(client().connect()).rejects.toMatchObject({ code: "53300" });
        const raw = new RawCaller(port);
        raw.socket.write(messages.cancelRequest(70_000, -5));
        await raw.closed;
        expect(cancelled).toEqual([[70_000, -5]]);
        await only.end();
        await eventually(() => listener.callers).toBe(0);
        const next = client();
        await next.connect();
        await next.end();
    });

    it("keeps open connections when it stops accepting", async () => {
        // Guards a graceful shutdown: requests of connected callers continue.
        const { listener } = await start();
        const open = client();
        await open.connect();
        listener.stopAccepting();
        await expect(client().connect()).rejects.toMatchObject({ code: "ECONNREFUSED" });
        expect(await first(open)).toBe(1);
        await open.end();
    });

    it("answers statements that were sent together with the start-up", async () => {
        // Guards against losing the bytes that arrive before the handler is set.
        const { port } = await start();
        const raw = new RawCaller(port);
        const startup = serialize.startup({ user: "ann" });
        raw.socket.write(Buffer.concat([startup, messages.query("SELECT 1"), messages.query("SELECT 1")]));
        await eventually(() => raw.received.toString("latin1").match(/SELECT 1/g)?.length).toBe(2);
        raw.socket.destroy();
    });

    it("reports a closed caller once, and pauses reading", async () => {
        const started = await start();
        const caller = client();
        await caller.connect();
        started.callers[0]!.pause();
        let answered = false;
        const pending = first(caller).then(() => answered = true);
        // A second connection's round trip gives the paused one the time to answer wrongly.
        const other = client();
        await other.connect();
        await first(other);
        expect(answered).toBe(false);
        started.callers[0]!.resume();
        await pending;
        await Promise.all([caller.end(), other.end()]);
        await eventually(() => started.closed).toBe(2);
    });

    it("closes a start-up that takes too long", async () => {
        const { port } = await start({ handshakeTimeoutMs: 30 });
        const raw = new RawCaller(port);
        raw.socket.write(Buffer.from([0, 0]));
        await raw.closed;
        expect(raw.received.toString("latin1")).toContain("08006");
    });
});
