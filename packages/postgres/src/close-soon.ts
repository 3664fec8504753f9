import type { Socket } from "node:net";

/** Time for queued bytes to leave; a peer that does not read, or never ends its TLS handshake, holds no socket longer. */
const LINGER_MS = 1_000;

/** Sends what is queued and closes; destroys the socket when that takes too long. */
export function closeSoon(socket: Socket): void {
    if (socket.destroyed) {
        return;
    }
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once("close", () => clearTimeout(timer));
    socket.destroySoon();
}
