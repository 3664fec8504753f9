import { randomInt } from "node:crypto";
import { createServer, type Server } from "node:net";

/** Below the range from which systems usually take the ports of outgoing connections, which come and go meanwhile. */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 32_000;

/** Returns loopback ports that were free a moment ago; they are held together, so that they differ. */
export async function freePorts(count: number): Promise<readonly number[]> {
    const servers: Server[] = [];
    const ports: number[] = [];
    while (ports.length < count) {
        const port = randomInt(LOWEST_PORT, HIGHEST_PORT);
        const server = createServer();
        if (await listens(server, port)) {
            servers.push(server);
            ports.push(port);
        }
    }
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

function listens(server: Server, port: number): Promise<boolean> {
    return new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => resolve(true));
    });
}
