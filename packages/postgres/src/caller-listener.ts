import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { createSecureContext, type SecureContext } from "node:tls";
import { type CallerConnection, CallerSocket } from "./caller-connection.js";
import type { Authenticate } from "./caller-gateway.js";
import { CallerHandshake, type HandshakeOutcome } from "./caller-handshake.js";

/** Largest message accepted from a caller by default; PostgreSQL's own limit is 1 GiB. */
export const DEFAULT_MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Time for start-up, TLS and authentication; PostgreSQL's authentication_timeout is 60 s. */
export const DEFAULT_HANDSHAKE_MS = 10_000;

/** Sockets beyond the caller limit that may be in their start-up, so that a refusal can still be sent. */
const HANDSHAKE_ALLOWANCE = 256;

const KEEP_ALIVE_MS = 30_000;

export interface ProtocolFault {
    readonly address: string;
    /** Empty before the start-up is complete. */
    readonly user: string;
    readonly reason: string;
}

export interface CallerListenerOptions {
    /** Must call `setHandler` within the call. */
    readonly onCaller: (connection: CallerConnection) => void;
    /** A caller asks to cancel the statement of the connection with this key. */
    readonly cancel: (processId: number, secretKey: number) => void;
    /** Undefined accepts every user without a password. */
    readonly authenticate?: Authenticate;
    /** Certificate chain and key in PEM form. */
    readonly tls?: { readonly certificate: string | Buffer; readonly key: string | Buffer; };
    readonly requireTls?: boolean;
    readonly maxCallers: number;
    readonly maxMessageBytes?: number;
    readonly handshakeTimeoutMs?: number;
    /** The key given to the next caller: two signed 32-bit numbers. */
    readonly backendKey: () => { readonly processId: number; readonly secretKey: number; };
    /** Called once for each connection that was closed because of what it sent. */
    readonly onProtocolFault: (fault: ProtocolFault) => void;
}

export type ListenError =
    | { readonly kind: "addressInUse"; readonly message: string; }
    | { readonly kind: "badCertificate"; readonly message: string; }
    | { readonly kind: "listenFailed"; readonly message: string; };

/** Accepts callers, completes their start-up and hands each on as a `CallerConnection`. */
export class CallerListener {
    readonly #options: CallerListenerOptions;
    readonly #server: Server;
    readonly #sockets = new Set<Socket>();
    #secureContext: SecureContext | undefined;
    #callers = 0;

    constructor(options: CallerListenerOptions) {
        this.#options = options;
        this.#server = createServer({ noDelay: true, keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_MS });
        this.#server.on("connection", (socket) => this.#accept(socket));
    }

    /** Callers that are connected or in their authentication. */
    get callers(): number {
        return this.#callers;
    }

    /** The port listened on; undefined when not listening. */
    get port(): number | undefined {
        const address = this.#server.address() as AddressInfo | null;
        return address?.port;
    }

    listen(host: string, port: number): Promise<ListenError | undefined> {
        const { tls } = this.#options;
        try {
            this.#secureContext = tls && createSecureContext({ cert: tls.certificate, key: tls.key });
        }
        catch (error) {
            return Promise.resolve({ kind: "badCertificate", message: (error as Error).message });
        }
        return new Promise((resolve) => {
            const failed = (error: NodeJS.ErrnoException): void =>
                resolve({
                    kind: error.code === "EADDRINUSE" ? "addressInUse" : "listenFailed",
                    message: error.message,
                });
            this.#server.once("error", failed);
            this.#server.listen(port, host, () => {
                this.#server.off("error", failed);
                // Failures to accept one connection, such as a lack of file descriptors, leave the listener running.
                this.#server.on("error", () => undefined);
                resolve(undefined);
            });
        });
    }

    /** Open connections, and those in their start-up, continue. */
    stopAccepting(): void {
        if (this.#server.listening) {
            this.#server.close();
        }
    }

    /** Closes all connections at once. */
    close(): Promise<void> {
        return new Promise((resolve) => {
            // Calls back with an error when the server was closed before, and otherwise when the last socket is gone.
            this.#server.close(() => resolve());
            for (const socket of this.#sockets) {
                socket.destroy();
            }
        });
    }

    #accept(socket: Socket): void {
        if (this.#sockets.size >= this.#options.maxCallers + HANDSHAKE_ALLOWANCE) {
            socket.destroy();
            return;
        }
        this.#sockets.add(socket);
        let reserved = false;
        const timer = setTimeout(
            () => handshake.expire(),
            this.#options.handshakeTimeoutMs ?? DEFAULT_HANDSHAKE_MS,
        );
        const address = `${socket.remoteAddress ?? ""}:${socket.remotePort ?? 0}`;
        const handshake = new CallerHandshake(
            socket,
            {
                authenticate: this.#options.authenticate,
                tls: this.#secureContext,
                requireTls: this.#options.requireTls ?? false,
                backendKey: this.#options.backendKey,
                reserve: () => {
                    reserved = this.#callers < this.#options.maxCallers;
                    this.#callers += reserved ? 1 : 0;
                    return reserved;
                },
            },
            (outcome) => {
                clearTimeout(timer);
                this.#settle(outcome, address);
            },
        );
        socket.once("close", () => {
            this.#sockets.delete(socket);
            this.#callers -= reserved ? 1 : 0;
        });
    }

    #settle(outcome: HandshakeOutcome, address: string): void {
        switch (outcome.kind) {
            case "caller": {
                const { identity } = outcome;
                this.#options.onCaller(
                    new CallerSocket(
                        outcome.socket,
                        outcome.early,
                        this.#options.maxMessageBytes ?? DEFAULT_MAX_MESSAGE_BYTES,
                        identity,
                        (reason) => this.#options.onProtocolFault({ address, user: identity.user, reason }),
                    ),
                );
                break;
            }
            case "cancel":
                this.#options.cancel(outcome.processId, outcome.secretKey);
                break;
            case "protocolError":
                this.#options.onProtocolFault({ address, user: "", reason: outcome.reason });
                break;
            case "ended":
                break;
        }
    }
}
