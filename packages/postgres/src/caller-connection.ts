import type { Socket } from "node:net";
import type { Frame } from "./frame-reader.js";
import { FrameSocket } from "./frame-socket.js";
import { findFrontendFault } from "./frontend-check.js";
import { errorResponse } from "./message-builders.js";

/** Receives what one caller sends. Callbacks are never called from within a call of the connection's methods. */
export interface CallerHandler {
    /** Whole, well-formed messages in order. Terminate is among them. */
    frames(frames: readonly Frame[]): void;
    /** The send queue is empty again after `send` returned false. */
    drained(): void;
    /** The connection is closed; called exactly once, and last. */
    closed(): void;
}

/** One authenticated caller, ready for statements. */
export interface CallerConnection {
    readonly user: string;
    readonly database: string;
    readonly applicationName: string;
    /** Start-up parameters that are settings; `medlarledge.*` among them, names in lower case. */
    readonly options: ReadonlyMap<string, string>;
    readonly processId: number;
    readonly secretKey: number;
    /** Nothing is read from the caller before the first call. */
    setHandler(handler: CallerHandler): void;
    /** Returns false when the sender should wait for `drained`. */
    send(bytes: Uint8Array): boolean;
    pause(): void;
    resume(): void;
    /** Sends what is queued, then closes. */
    close(): void;
}

/** Who the caller is, as known after the start-up. */
export interface CallerIdentity {
    readonly user: string;
    readonly database: string;
    readonly applicationName: string;
    readonly options: ReadonlyMap<string, string>;
    readonly processId: number;
    readonly secretKey: number;
}

export class CallerSocket implements CallerConnection {
    readonly user: string;
    readonly database: string;
    readonly applicationName: string;
    readonly options: ReadonlyMap<string, string>;
    readonly processId: number;
    readonly secretKey: number;
    readonly #socket: FrameSocket;

    constructor(
        socket: Socket,
        early: Buffer,
        maxMessageBytes: number,
        identity: CallerIdentity,
        faulty: (reason: string) => void,
    ) {
        this.user = identity.user;
        this.database = identity.database;
        this.applicationName = identity.applicationName;
        this.options = identity.options;
        this.processId = identity.processId;
        this.secretKey = identity.secretKey;
        this.#socket = new FrameSocket(socket, early, maxMessageBytes, findFrontendFault, (reason) => {
            this.#socket.send(errorResponse("08P01", `protocol error: ${reason}`, "FATAL"));
            faulty(reason);
        });
    }

    setHandler(handler: CallerHandler): void {
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
