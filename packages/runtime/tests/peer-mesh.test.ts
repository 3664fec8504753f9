import { createAuthority, issueHostKeys, type KeyPair } from "@medlarledge/daemon";
import { encodeMessage, type Host, MAX_MESSAGE_BYTES, PROTOCOL_VERSION } from "@medlarledge/protocol";
import { type Log, type LogFields, SILENT_LOG } from "@medlarledge/telemetry";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, describe, expect, it } from "vitest";
import { WebSocket, WebSocketServer } from "ws";
import { SYSTEM_CLOCK } from "../src/clock.js";
import type { IdentityFiles } from "../src/peer-identity.js";
import { type MeshEvent, type MeshOptions, PeerMesh } from "../src/peer-mesh.js";
import { freePort } from "./free-port.js";

const DAY_MS = 86_400_000;
const meshes: PeerMesh[] = [];
const servers: WebSocketServer[] = [];

afterEach(async () => {
    servers.splice(0).forEach(server => server.close());
    await Promise.all(meshes.splice(0).map(mesh => mesh.close()));
});

describe("PeerMesh", () => {
    it("transfers messages both ways between hosts with valid certificates", async () => {
        const authority = await createAuthority(Date.now(), 1);
        const left = await start("a1", await identity(authority, "a1"));
        const right = await start("b1", await identity(authority, "b1"));
        left.mesh.keepConnected("b1", right.host.peerAddress);
        await until(left, event => event.kind === "connected");
        left.mesh.send("b1", { kind: "revoked", database: "orders", term: 3 });
        const received = await until(right, event => event.kind === "message");
        expect(received).toMatchObject({ from: { id: "a1" }, message: { kind: "revoked", term: 3 } });
        right.mesh.send("a1", { kind: "revoke", database: "orders", term: 3 });
        expect(await until(left, event => event.kind === "message")).toMatchObject({ message: { kind: "revoke" } });
    });

    it.each([
        ["a certificate of another authority", async () => identity(await createAuthority(Date.now(), 1), "b1")],
        [
            "an expired certificate",
            async (authority: KeyPair) => identity(authority, "b1", Date.now() - 10 * DAY_MS),
        ],
        ["the certificate of another host", async (authority: KeyPair) => identity(authority, "c1")],
    ])("refuses %s and logs it", async (_name, makeIdentity) => {
        const authority = await createAuthority(Date.now(), 1);
        const refusals: LogFields[] = [];
        const log: Log = { event: (name, fields = {}) => name === "peerRefused" && refusals.push(fields) };
        const left = await start("a1", await identity(authority, "a1"), log);
        const right = await start("b1", await makeIdentity(authority));
        right.mesh.keepConnected("a1", left.host.peerAddress);
        await expect.poll(() => refusals.length, { timeout: 5_000 }).toBeGreaterThan(0);
        expect(left.mesh.connected()).toEqual([]);
    });

    it("rejects undecodable bytes of a connected peer without closing its connection", async () => {
        const rejected: LogFields[] = [];
        const log: Log = { event: (name, fields = {}) => name === "messageRejected" && rejected.push(fields) };
        const left = await start("a1", undefined, log);
        const right = await start("b1", undefined);
        right.mesh.keepConnected("a1", left.host.peerAddress);
        await until(left, event => event.kind === "connected");
        const raw = new WebSocket(`ws://${left.host.peerAddress}`);
        await new Promise(resolve => raw.once("open", resolve));
        raw.send(Buffer.from([0xc1, 0xff, 0x00]));
        await expect.poll(() => rejected.length).toBe(1);
        raw.terminate();
        expect(left.mesh.connected().map(host => host.id)).toEqual(["b1"]);
    });

    // Guards against a message that the receiver rejects while its sender is not told.
    it("does not send a message that is larger than its peer accepts, and logs it", async () => {
        const oversized: LogFields[] = [];
        const log: Log = { event: (name, fields = {}) => name === "messageOversized" && oversized.push(fields) };
        const left = await start("a1", undefined, log);
        const right = await start("b1", undefined);
        right.mesh.keepConnected("a1", left.host.peerAddress);
        await until(left, event => event.kind === "connected");
        left.mesh.send("b1", { kind: "leaderReply", id: "1", ok: true, body: "x".repeat(MAX_MESSAGE_BYTES) });
        expect(oversized).toEqual([expect.objectContaining({ peer: "b1", kind: "leaderReply" })]);
        left.mesh.send("b1", { kind: "leaderReply", id: "2", ok: true, body: "" });
        await until(right, event => event.kind === "message" && event.message.kind === "leaderReply");
    });

    // Guards against an exception that ends the process when another program sends a message of the right form.
    it.each([
        ["no host", undefined],
        ["a host without an id", { ...hostAt("c1", "127.0.0.1:1"), id: undefined }],
        ["a host whose id is a number", { ...hostAt("c1", "127.0.0.1:1"), id: 7 }],
    ])("refuses a hello with %s", async (_, host) => {
        const refusals: LogFields[] = [];
        const log: Log = { event: (name, fields = {}) => name === "peerRefused" && refusals.push(fields) };
        const left = await start("a1", undefined, log);
        const raw = new WebSocket(`ws://${left.host.peerAddress}`);
        await new Promise(resolve => raw.once("open", resolve));
        raw.send(encodeMessage({ kind: "hello", protocol: PROTOCOL_VERSION, host: host as unknown as Host }));
        await expect.poll(() => refusals).toEqual([
            expect.objectContaining({ reason: "the hello does not describe a host" }),
        ]);
        expect(left.mesh.connected()).toEqual([]);
        raw.terminate();
    });

    it("returns a reason when its address is in use, instead of ending the process", async () => {
        const first = await start("a1", undefined);
        const second = new PeerMesh({
            self: { ...first.host, id: "b1" },
            identity: undefined,
            clock: SYSTEM_CLOCK,
            log: SILENT_LOG,
        });
        meshes.push(second);
        expect(await second.listen()).toMatch(/EADDRINUSE/);
    });

    it("keeps a working link when both hosts dial each other at once", async () => {
        const left = await start("a1", undefined);
        const right = await start("b1", undefined);
        left.mesh.keepConnected("b1", right.host.peerAddress);
        right.mesh.keepConnected("a1", left.host.peerAddress);
        await until(left, event => event.kind === "connected");
        await until(right, event => event.kind === "connected");
        await expect.poll(() => roundTrip(left, right)).toBe(true);
        await expect.poll(() => roundTrip(right, left)).toBe(true);
    });

    // Guards against an exception that ends the process when another host lists a host whose address cannot be used.
    it.each(["127.0.0.1:80800", "no address", ""])("logs that it cannot dial %j and stays usable", async address => {
        const refusals: LogFields[] = [];
        const log: Log = { event: (name, fields = {}) => name === "peerRefused" && refusals.push(fields) };
        const left = await start("a1", undefined, log);
        const right = await start("b1", undefined);
        left.mesh.keepConnected("c1", address);
        left.mesh.connectOnce("d1", address);
        expect(refusals.map(({ peer }) => peer)).toEqual(["c1", "d1"]);
        right.mesh.keepConnected("a1", left.host.peerAddress);
        await until(left, event => event.kind === "connected");
    });
});

interface Running {
    readonly host: Host;
    readonly mesh: PeerMesh;
    readonly events: MeshEvent[];
}

async function start(
    id: string,
    files: IdentityFiles | undefined,
    log: Log = SILENT_LOG,
    options: Pick<MeshOptions, "timing" | "isMonitored"> = {},
): Promise<Running> {
    const host = hostAt(id, `127.0.0.1:${await freePort()}`);
    const mesh = new PeerMesh({ self: host, identity: files, clock: SYSTEM_CLOCK, log, ...options });
    meshes.push(mesh);
    const events: MeshEvent[] = [];
    void mesh.events.observe(event => void events.push(event));
    expect(await mesh.listen()).toBeUndefined();
    return { host, mesh, events };
}

function hostAt(id: string, peerAddress: string): Host {
    return {
        id,
        incarnation: `${id}-1`,
        dataCentre: "mechelen",
        peerAddress,
        httpAddress: "127.0.0.1:1",
        callerAddress: "127.0.0.1:1",
        control: false,
    };
}

async function identity(authority: KeyPair, id: string, wallClock = Date.now()): Promise<IdentityFiles> {
    const folder = await mkdtemp(join(tmpdir(), "medlarledge-keys-"));
    const keys = await issueHostKeys(authority, id, wallClock, 1);
    const files = {
        certificate: join(folder, "host.pem"),
        key: join(folder, "key.pem"),
        authority: join(folder, "ca.pem"),
    };
    await writeFile(files.certificate, keys.certificate);
    await writeFile(files.key, keys.key);
    await writeFile(files.authority, authority.certificate);
    return files;
}

async function until(running: Running, matches: (event: MeshEvent) => boolean): Promise<MeshEvent> {
    await expect.poll(() => running.events.some(matches), { timeout: 5_000 }).toBe(true);
    return running.events.find(matches)!;
}

function roundTrip(from: Running, to: Running): boolean {
    const before = to.events.length;
    from.mesh.send(to.host.id, { kind: "revoked", database: "orders", term: 1 });
    return to.events.length > before || to.events.some(event => event.kind === "message");
}

const QUICK = { pingMs: 20, silenceMs: 80, connectMs: 200, redialMs: 20 } as const;

/** Answers the handshake of a link and then nothing more, like a host behind a broken network path. */
async function silentPeer(): Promise<string> {
    const port = await freePort();
    const server = new WebSocketServer({ host: "127.0.0.1", port, autoPong: false });
    servers.push(server);
    const host = hostAt("silent", `127.0.0.1:${port}`);
    server.on("connection", socket => {
        socket.send(encodeMessage({ kind: "hello", protocol: PROTOCOL_VERSION, host }));
    });
    await new Promise(resolve => server.once("listening", resolve));
    return host.peerAddress;
}

describe("a silent link", () => {
    it("is closed when this process depends on it", async () => {
        const it = await start("a1", undefined, SILENT_LOG, { timing: QUICK });
        it.mesh.keepConnected("silent", await silentPeer());
        await until(it, event => event.kind === "connected");
        await until(it, event => event.kind === "disconnected");
    });

    // Guards against thousands of pings a second between hosts that do not depend on each other.
    it("stays open while it is not monitored, and its silence counts only from when it is", async () => {
        let isMonitored = false;
        const it = await start("a1", undefined, SILENT_LOG, { timing: QUICK, isMonitored: () => isMonitored });
        it.mesh.connectOnce("silent", await silentPeer());
        await until(it, event => event.kind === "connected");
        await pause(4 * QUICK.silenceMs);
        expect(it.mesh.isConnected("silent")).toBe(true);
        isMonitored = true;
        const since = performance.now();
        await until(it, event => event.kind === "disconnected");
        expect(performance.now() - since).toBeGreaterThan(QUICK.silenceMs / 2);
    });
});

describe("a lost link", () => {
    // Guards against a lost link that neither side dials again because the other side had dialed it.
    it("is dialed again by the side that keeps connected, whichever side had dialed it", async () => {
        const left = await start("a1", undefined, SILENT_LOG, { timing: QUICK });
        const right = await start("b1", undefined, SILENT_LOG, { timing: QUICK });
        right.mesh.connectOnce("a1", left.host.peerAddress);
        await until(left, event => event.kind === "connected");
        left.mesh.keepConnected("b1", right.host.peerAddress);
        right.mesh.disconnect("a1");
        await until(left, event => event.kind === "disconnected");
        await expect.poll(() => left.mesh.isConnected("b1")).toBe(true);
    });

    // Guards against a host that is to be kept connected and is not dialed again, because its link was opened by one attempt.
    it("is dialed again after connectOnce and keepConnected", async () => {
        const left = await start("a1", undefined, SILENT_LOG, { timing: QUICK });
        const right = await start("b1", undefined, SILENT_LOG, { timing: QUICK });
        right.mesh.connectOnce("a1", left.host.peerAddress);
        await until(left, event => event.kind === "connected");
        right.mesh.keepConnected("a1", left.host.peerAddress);
        left.mesh.disconnect("b1");
        await until(right, event => event.kind === "disconnected");
        await expect.poll(() => right.mesh.isConnected("a1")).toBe(true);
    });

    it("is not dialed again after connectOnce", async () => {
        const left = await start("a1", undefined, SILENT_LOG, { timing: QUICK });
        const right = await start("b1", undefined, SILENT_LOG, { timing: QUICK });
        right.mesh.connectOnce("a1", left.host.peerAddress);
        await until(left, event => event.kind === "connected");
        left.mesh.disconnect("b1");
        await until(right, event => event.kind === "disconnected");
        await pause(5 * QUICK.redialMs);
        expect(right.mesh.isConnected("a1")).toBe(false);
        right.mesh.connectOnce("a1", left.host.peerAddress);
        await expect.poll(() => right.mesh.isConnected("a1")).toBe(true);
    });
});

function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
