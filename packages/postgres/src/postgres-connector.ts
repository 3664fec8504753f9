import type { Endpoint } from "@medlarledge/protocol";
import { connect as connectTcp, isIP, type Socket } from "node:net";
import { connect as connectTls, type ConnectionOptions } from "node:tls";
import { serialize } from "pg-protocol";
import { DEFAULT_MAX_MESSAGE_BYTES } from "./caller-listener.js";
import {
    type Connected,
    type Credentials,
    type EndpointConnector,
    type EndpointError,
    EndpointSocket,
} from "./endpoint-connection.js";
import { EndpointHandshake } from "./endpoint-handshake.js";
import { cancelRequest } from "./message-builders.js";

/** A cancel request is sent without waiting for an outcome; this only bounds its socket. */
const CANCEL_TIMEOUT_MS = 2_000;

const KEEP_ALIVE_MS = 30_000;
const ENCRYPTION_ACCEPTED = 0x53;

/** Connects to PostgreSQL servers: trust, clear text, MD5 and SCRAM-SHA-256, with or without TLS. */
export class PostgresConnector implements EndpointConnector {
    readonly #credentials: (database: string) => Credentials;

    constructor(credentials: (database: string) => Credentials) {
        this.#credentials = credentials;
    }

    connect(endpoint: Endpoint, timeoutMs: number): Promise<Connected> {
        return new Promise((resolve) => {
            const attempt = new ConnectAttempt(endpoint, this.#credentials(endpoint.database), resolve);
            attempt.start(timeoutMs);
        });
    }

    cancel(endpoint: Endpoint, processId: number, secretKey: number): Promise<void> {
        return new Promise((resolve) => {
            const socket = connectTcp({ host: endpoint.host, port: endpoint.port });
            const timer = setTimeout(() => socket.destroy(), CANCEL_TIMEOUT_MS);
            socket.on("error", () => undefined);
            socket.on("close", () => {
                clearTimeout(timer);
                resolve();
            });
            socket.resume();
            socket.end(cancelRequest(processId, secretKey));
        });
    }
}

/** One connection from the first packet to the end of its start-up, within one time limit. */
class ConnectAttempt {
    readonly #endpoint: Endpoint;
    readonly #credentials: Credentials;
    readonly #resolve: (connected: Connected) => void;
    #socket: Socket | undefined;
    #timer: NodeJS.Timeout | undefined;
    #failure: EndpointError = { kind: "unreachable", reason: "closed during the start-up" };
    #settled = false;
    readonly #onError = (error: Error): void => this.#fail({ kind: "unreachable", reason: error.message });
    readonly #onClose = (): void => this.#fail(this.#failure);

    constructor(endpoint: Endpoint, credentials: Credentials, resolve: (connected: Connected) => void) {
        this.#endpoint = endpoint;
        this.#credentials = credentials;
        this.#resolve = resolve;
    }

    start(timeoutMs: number): void {
        this.#timer = setTimeout(() => this.#fail({ kind: "timeout", timeoutMs }), timeoutMs);
        const { host, port } = this.#endpoint;
        const socket = connectTcp({ host, port, noDelay: true, keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_MS });
        this.#watch(socket);
        const { tls } = this.#credentials;
        socket.once("connect", () => {
            if (tls === undefined) {
                this.#startUp(socket);
            }
            else {
                this.#encrypt(socket, tls);
            }
        });
    }

    #watch(socket: Socket): void {
        this.#socket = socket;
        socket.on("error", this.#onError);
        socket.on("close", this.#onClose);
    }

    #encrypt(socket: Socket, tls: ConnectionOptions): void {
        socket.write(serialize.requestSsl());
        socket.once("data", (answer: Buffer) => {
            // Anything behind the one byte could have been put there by a third party.
            if (answer.length !== 1 || answer[0] !== ENCRYPTION_ACCEPTED) {
                this.#fail({ kind: "protocol", reason: "the endpoint does not accept TLS" });
                return;
            }
            socket.off("close", this.#onClose);
            const { host } = this.#endpoint;
            const servername = isIP(host) === 0 ? host : undefined;
            const secure = connectTls({ host, ...(servername && { servername }), ...tls, socket });
            this.#watch(secure);
            secure.once("secureConnect", () => this.#startUp(secure));
        });
    }

    #startUp(socket: Socket): void {
        new EndpointHandshake(socket, this.#endpoint.database, this.#credentials, (result) => {
            if (!result.ok) {
                this.#fail(result.error);
                return;
            }
            if (this.#settled) {
                return;
            }
            this.#settle();
            socket.off("close", this.#onClose);
            const connection = new EndpointSocket(this.#endpoint, socket, result.start, DEFAULT_MAX_MESSAGE_BYTES);
            socket.off("error", this.#onError);
            this.#resolve({ ok: true, connection });
        });
    }

    #fail(error: EndpointError): void {
        if (!this.#settled) {
            this.#settle();
            // The error listener stays: a destroyed socket can still report one.
            this.#socket?.destroy();
            this.#resolve({ ok: false, error });
        }
    }

    #settle(): void {
        this.#settled = true;
        clearTimeout(this.#timer);
    }
}
