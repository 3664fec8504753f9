import { createServer } from "node:net";

/** Returns a loopback port that was free at the time of the call. */
export function freePort(): Promise<number> {
    const server = createServer();
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => {
            const address = server.address();
            server.close(() => resolve(typeof address === "object" && address !== null ? address.port : 0));
        });
    });
}
