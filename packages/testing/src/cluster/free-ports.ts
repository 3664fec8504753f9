import { createServer, type Server } from "node:net";

/** Returns loopback ports that were free a moment ago; they are held together, so that they differ. */
export async function freePorts(count: number): Promise<readonly number[]> {
    const servers: Server[] = [];
    const ports: number[] = [];
    for (let index = 0; index < count; index++) {
        const server = createServer();
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const address = server.address();
        ports.push(typeof address === "object" && address !== null ? address.port : 0);
        servers.push(server);
    }
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
