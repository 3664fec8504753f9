import type { Socket } from "node:net";
import { type SecureContext, TLSSocket } from "node:tls";
import type { CallerIdentity } from "./caller-connection.js";
import { type Authenticate, CallerGateway } from "./caller-gateway.js";
import { closeSoon } from "./close-soon.js";
import { errorResponse } from "./message-builders.js";
import { FrontendType } from "./message-types.js";
import { readStartupPacket, type StartupPacket, startupSettings } from "./startup-packet.js";

/** Longest password message and whatever a caller sends ahead before its start-up is answered. */
const MAX_HANDSHAKE_BYTES = 64 * 1024;

export interface HandshakeOptions {
    readonly authenticate: Authenticate | undefined;
    readonly tls: SecureContext | undefined;
    readonly requireTls: boolean;
    readonly backendKey: () => { readonly processId: number; readonly secretKey: number; };
    /** Takes a place among the callers; false when all are taken. Called once, before the authentication. */
    readonly reserve: () => boolean;
}

export type HandshakeOutcome =
    | { readonly kind: "caller"; readonly socket: Socket; readonly early: Buffer; readonly identity: CallerIdentity; }
    | { readonly kind: "cancel"; readonly processId: number; readonly secretKey: number; }
    | { readonly kind: "protocolError"; readonly reason: string; }
    /** Refused with an error, or the caller went away. */
    | { readonly kind: "ended"; };

/** The start-up phase of one caller: first packets, TLS, authentication. */
export class CallerHandshake {
    readonly #options: HandshakeOptions;
    readonly #done: (outcome: HandshakeOutcome) => void;
    #socket: Socket;
    #received: Buffer = Buffer.alloc(0);
    #gateway: CallerGateway | undefined;
    #identity: CallerIdentity | undefined;
    #busy = false;
    #finished = false;
    readonly #onData = (chunk: Buffer): void => this.#receive(chunk);
    readonly #onClose = (): void => this.#finish({ kind: "ended" });

    /** `done` is called exactly once. */
    constructor(socket: Socket, options: HandshakeOptions, done: (outcome: HandshakeOutcome) => void) {
        this.#options = options;
        this.#done = done;
        this.#socket = socket;
        this.#attach(socket);
    }

    /** Closes a start-up that takes too long. */
    expire(): void {
        this.#refuse("08006", "the start-up was not completed in time");
    }

    #attach(socket: Socket): void {
        this.#socket = socket;
        socket.on("data", this.#onData);
        socket.on("close", this.#onClose);
        // The close event follows and ends the handshake, unless the bytes were no TLS.
        socket.on("error", (error: NodeJS.ErrnoException) => {
            if (error.code?.startsWith("ERR_SSL") === true) {
                this.#finish({ kind: "protocolError", reason: `TLS: ${error.message}` });
            }
        });
    }

    #detach(): void {
        this.#socket.off("data", this.#onData);
        this.#socket.off("close", this.#onClose);
    }

    #receive(chunk: Buffer): void {
        if (this.#finished) {
            return;
        }
        this.#received = this.#received.length === 0 ? chunk : Buffer.concat([this.#received, chunk]);
        if (this.#received.length > MAX_HANDSHAKE_BYTES) {
            this.#fail(`more than ${MAX_HANDSHAKE_BYTES} bytes before the end of the start-up`);
        }
        else if (!this.#busy) {
            this.#advance();
        }
    }

    #advance(): void {
        if (this.#gateway !== undefined) {
            this.#advancePassword(this.#gateway);
            return;
        }
        const read = readStartupPacket(this.#received);
        if (read !== undefined) {
            this.#received = this.#received.subarray(read.size);
            this.#take(read.packet);
        }
    }

    #take(packet: StartupPacket): void {
        switch (packet.kind) {
            case "malformed":
                this.#fail(packet.reason);
                break;
            case "cancel":
                this.#finish({ kind: "cancel", processId: packet.processId, secretKey: packet.secretKey });
                this.#socket.destroy();
                break;
            case "gssEncryption":
                this.#socket.write("N");
                this.#advance();
                break;
            case "encryption":
                this.#encrypt();
                break;
            case "startup":
                this.#start(packet.bytes, packet.parameters);
                break;
        }
    }

    /**
     * Done here and not by pg-gateway, whose TLS socket has no error listener: bytes that are not TLS would end the
     * process. Bytes sent ahead of the encryption are refused, since a third party could have put them there.
     */
    #encrypt(): void {
        const { tls } = this.#options;
        if (tls === undefined || this.#socket instanceof TLSSocket) {
            this.#socket.write("N");
            this.#advance();
            return;
        }
        if (this.#received.length > 0) {
            this.#fail("bytes received before the encryption");
            return;
        }
        this.#detach();
        this.#socket.write("S");
        this.#attach(new TLSSocket(this.#socket, { isServer: true, secureContext: tls }));
    }

    #start(bytes: Buffer, parameters: ReadonlyMap<string, string>): void {
        if (this.#options.requireTls && !(this.#socket instanceof TLSSocket)) {
            this.#refuse("28000", "connections without TLS are not accepted");
            return;
        }
        if (!this.#options.reserve()) {
            this.#refuse("53300", "too many callers are connected; nothing was run");
            return;
        }
        const user = parameters.get("user") ?? "";
        const key = this.#options.backendKey();
        this.#identity = {
            user,
            database: parameters.get("database") ?? user,
            applicationName: parameters.get("application_name") ?? "",
            options: startupSettings(parameters),
            ...key,
        };
        this.#gateway = new CallerGateway(this.#socket, this.#options.authenticate, key);
        void this.#pass(this.#gateway, bytes);
    }

    #advancePassword(gateway: CallerGateway): void {
        if (this.#received.length < 5) {
            return;
        }
        const size = this.#received.readInt32BE(1) + 1;
        if (this.#received[0] !== FrontendType.Password || size < 6 || size > MAX_HANDSHAKE_BYTES) {
            this.#fail("a password message was expected");
            return;
        }
        if (this.#received.length < size) {
            return;
        }
        const message = this.#received.subarray(0, size);
        this.#received = this.#received.subarray(size);
        if (message.indexOf(0, 5) !== size - 1) {
            this.#fail("malformed password message");
            return;
        }
        void this.#pass(gateway, message);
    }

    /** Gives one message to pg-gateway. Its promise never rejects: the message is well-formed, the hooks catch. */
    async #pass(gateway: CallerGateway, message: Buffer): Promise<void> {
        this.#busy = true;
        await gateway.handleData(message);
        this.#busy = false;
        if (this.#finished) {
            return;
        }
        if (!this.#socket.writable) {
            this.#finish({ kind: "ended" });
            closeSoon(this.#socket);
        }
        else if (gateway.isAuthenticated && this.#identity !== undefined) {
            this.#socket.pause();
            this.#finish({
                kind: "caller",
                socket: this.#socket,
                early: this.#received,
                identity: this.#identity,
            });
        }
        else {
            this.#advance();
        }
    }

    #refuse(sqlstate: string, message: string): void {
        this.#end(errorResponse(sqlstate, message, "FATAL"));
        this.#finish({ kind: "ended" });
    }

    #fail(reason: string): void {
        this.#end(errorResponse("08P01", `protocol error: ${reason}`, "FATAL"));
        this.#finish({ kind: "protocolError", reason });
    }

    #end(bytes: Buffer): void {
        if (this.#socket.writable) {
            this.#socket.write(bytes);
        }
        closeSoon(this.#socket);
    }

    #finish(outcome: HandshakeOutcome): void {
        if (!this.#finished) {
            this.#finished = true;
            this.#detach();
            this.#done(outcome);
        }
    }
}
