import type { Server } from "node:net";

/** Listens on an address; rejects when it is taken. */
export function listen(server: Server, host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject).listen(port, host, resolve);
    });
}

/** The port listened on, 0 when not listening. */
export function portOf(server: Server): number {
    const address = server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
}
