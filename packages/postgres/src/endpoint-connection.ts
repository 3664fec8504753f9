import type { Endpoint } from "@medlarledge/protocol";
import type { Socket } from "node:net";
import type { ConnectionOptions } from "node:tls";
import type { Frame } from "./frame-reader.js";
import { FrameSocket } from "./frame-socket.js";

/** Receives what one endpoint sends. Callbacks are never called from within a call of the connection's methods. */
export interface EndpointHandler {
    /** Whole messages in order. */
    frames(frames: readonly Frame[]): void;
    /** The send queue is empty again after `send` returned false. */
    drained(): void;
    /** The connection is closed; called exactly once, and last. */
    closed(reason: string): void;
}

/** One authenticated connection to an endpoint, ready for statements. */
export interface EndpointConnection {
    readonly endpoint: Endpoint;
    readonly processId: number;
    readonly secretKey: number;
    /** Parameter values that the endpoint reported at start-up. */
    readonly parameters: ReadonlyMap<string, string>;
    /** Nothing is read from the endpoint before the first call. */
    setHandler(handler: EndpointHandler): void;
    /** Returns false when the sender should wait for `drained`. */
    send(bytes: Uint8Array): boolean;
    pause(): void;
    resume(): void;
    /** Sends what is queued, then closes. */
    close(): void;
}

export interface Credentials {
    readonly user: string;
    readonly password?: string;
    /** Requires TLS with these options; undefined connects in plain text. */
    readonly tls?: ConnectionOptions;
    /** Name of the database at the endpoint, where it is not the database's own. */
    readonly database?: string;
}

export type EndpointError =
    /** Nothing accepted the connection, or it was reset. */
    | { readonly kind: "unreachable"; readonly reason: string; }
    | { readonly kind: "timeout"; readonly timeoutMs: number; }
    /** The endpoint answered with an error: a wrong password (28P01), too many connections (53300), a start (57P03). */
    | { readonly kind: "rejected"; readonly sqlstate: string; readonly message: string; }
    | { readonly kind: "protocol"; readonly reason: string; };

export type Connected =
    | { readonly ok: true; readonly connection: EndpointConnection; }
    | { readonly ok: false; readonly error: EndpointError; };

/** Opens connections to endpoints. The only place where the proxy meets a database server. */
export interface EndpointConnector {
    connect(endpoint: Endpoint, timeoutMs: number): Promise<Connected>;
    /** Asks the endpoint to cancel the statement that runs on the connection with this key. Failures are silent. */
    cancel(endpoint: Endpoint, processId: number, secretKey: number): Promise<void>;
}

export class EndpointSocket implements EndpointConnection {
    readonly endpoint: Endpoint;
    readonly processId: number;
    readonly secretKey: number;
    readonly parameters: ReadonlyMap<string, string>;
    readonly #socket: FrameSocket;

    constructor(
        endpoint: Endpoint,
        socket: Socket,
        start: {
            readonly processId: number;
            readonly secretKey: number;
            readonly parameters: ReadonlyMap<string, string>;
        },
        maxMessageBytes: number,
    ) {
        this.endpoint = endpoint;
        this.processId = start.processId;
        this.secretKey = start.secretKey;
        this.parameters = start.parameters;
        this.#socket = new FrameSocket(socket, Buffer.alloc(0), maxMessageBytes, () => undefined, () => undefined);
    }

    setHandler(handler: EndpointHandler): void {
        this.#socket.setHandler(handler);
    }

    send(bytes: Uint8Array): boolean {
        return this.#socket.send(bytes);
    }

    pause(): void {
        this.#socket.pause();
    }

    resume(): void {
        this.#socket.resume();
    }

    close(): void {
        this.#socket.close();
    }
}
