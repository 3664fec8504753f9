import { decodeMessage, encodeMessage, type Message } from "@medlarledge/protocol";
import { type AddressInfo, createServer } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import { cpuSeconds, type Print, printFit, usedBytes } from "./measure.js";

const MESSAGES = 20_000;
const IN_FLIGHT = 50;
const PADDING = [0, 1_000, 4_000, 16_000] as const;
const CONNECTIONS = [10, 100, 300, 500] as const;

/**
 * Echoes messages over one connection on loopback with both ends in this process. One echo is four operations, so a
 * quarter of the processor time is that of one message at one end.
 */
export async function messageCost(print: Print): Promise<void> {
    const server = await listen();
    server.on("connection", socket =>
        socket.on("message", (data: Buffer) => {
            const decoded = decodeMessage(data);
            if (decoded.ok) {
                socket.send(encodeMessage(decoded.message));
            }
        }));
    const client = await connect(server);
    const points = [];
    for (const padding of PADDING) {
        const message = renewal(padding);
        const count = MESSAGES / (padding > 1_000 ? 4 : 1);
        await echo(client, message, 1_000);
        const before = cpuSeconds();
        await echo(client, message, count);
        points.push({ x: encodeMessage(message).byteLength, y: (cpuSeconds() - before) / count / 4 });
    }
    client.terminate();
    server.close();
    printFit(print, "one message at one end", "bytes", "CPU seconds", points);
}

function renewal(padding: number): Message {
    const body = padding === 0 ? {} : { padding: "x".repeat(padding) };
    return {
        kind: "renewLease",
        sequence: 864_000,
        configurationNumber: 240,
        configurationSince: 1_780_000_000_000,
        viewVersion: 5_000,
        draining: false,
        ...body,
    };
}

/** Keeps several messages on the way, as many hosts would, until `count` have come back. */
function echo(client: WebSocket, message: Message, count: number): Promise<void> {
    return new Promise(resolve => {
        let sent = Math.min(IN_FLIGHT, count);
        let received = 0;
        const answered = (data: Buffer): void => {
            decodeMessage(data);
            received += 1;
            if (sent < count) {
                sent += 1;
                client.send(encodeMessage(message));
            }
            if (received === count) {
                client.off("message", answered);
                resolve();
            }
        };
        client.on("message", answered);
        for (let index = 0; index < sent; index++) {
            client.send(encodeMessage(message));
        }
    });
}

/** Memory of open connections; both ends are in this process, so half of it belongs to one end. */
export async function connectionMemory(print: Print): Promise<void> {
    const server = await listen();
    const clients: WebSocket[] = [];
    const before = usedBytes();
    const resident = process.memoryUsage.rss();
    const points = [];
    const residentPoints = [];
    for (const count of CONNECTIONS) {
        while (clients.length < count) {
            clients.push(await connect(server));
        }
        points.push({ x: count, y: (usedBytes() - before) / 2 });
        residentPoints.push({ x: count, y: (process.memoryUsage.rss() - resident) / 2 });
    }
    printFit(print, "connections at one end", "connections", "heap and external bytes", points);
    printFit(print, "connections at one end", "connections", "resident bytes", residentPoints);
    clients.forEach(client => client.terminate());
    server.close();
}

async function listen(): Promise<WebSocketServer> {
    const probe = createServer();
    await new Promise<void>(resolve => probe.listen(0, "127.0.0.1", resolve));
    const { port } = probe.address() as AddressInfo;
    await new Promise(resolve => probe.close(resolve));
    const server = new WebSocketServer({ host: "127.0.0.1", port, perMessageDeflate: false });
    await new Promise(resolve => server.once("listening", resolve));
    return server;
}

function connect(server: WebSocketServer): Promise<WebSocket> {
    const { port } = server.address() as AddressInfo;
    const client = new WebSocket(`ws://127.0.0.1:${port}`, { perMessageDeflate: false });
    return new Promise((resolve, reject) => {
        client.once("open", () => resolve(client));
        client.once("error", reject);
    });
}
