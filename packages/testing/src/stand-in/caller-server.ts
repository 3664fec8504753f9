import {
    type Frame,
    FrameReader,
    FrontendType,
    HEADER_BYTES,
    messages,
    readStartupPacket,
} from "@medlarledge/postgres";
import { randomInt } from "node:crypto";
import { createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { Faults } from "./answer-queue.js";
import { PasswordExchange, type PasswordSettings } from "./authentication.js";
import { listen, portOf } from "./listening.js";
import type { ServerState } from "./server-state.js";
import { Session } from "./session.js";

export interface CallerServerOptions {
    readonly host: ServerState;
    readonly faults: Faults;
    readonly connections: number;
    readonly connectDelayMs: number;
    /** Undefined trusts everybody. */
    readonly authentication: PasswordSettings | undefined;
}

const MAX_KEY = 0x7fff_ffff;
const MAX_PASSWORD_BYTES = 16 * 1024;

interface OpenSession {
    readonly secretKey: number;
    readonly session: Session;
}

/** Accepts PostgreSQL connections up to a limit, and starts a session for each. */
export class CallerServer {
    readonly #options: CallerServerOptions;
    readonly #sockets = new Set<Socket>();
    readonly #sessions = new Map<number, OpenSession>();
    #server: Server;
    #open = 0;
    #maxOpen = 0;
    #refused = 0;
    #nextProcessId = 1;

    constructor(options: CallerServerOptions) {
        this.#options = options;
        this.#server = this.#createServer();
    }

    get port(): number {
        return portOf(this.#server);
    }

    get counts(): {
        readonly limit: number;
        readonly open: number;
        readonly maxOpen: number;
        readonly refused: number;
    } {
        return {
            limit: this.#options.connections,
            open: this.#open,
            maxOpen: this.#maxOpen,
            refused: this.#refused,
        };
    }

    resetCounts(): void {
        this.#maxOpen = this.#open;
        this.#refused = 0;
    }

    listen(host: string, port: number): Promise<void> {
        this.#server = this.#createServer();
        return listen(this.#server, host, port);
    }

    /** New connections are refused by the operating system; open ones continue. */
    stopListening(): void {
        this.#server.close();
    }

    closeConnections(): void {
        this.#sockets.forEach((socket) => socket.destroy());
    }

    cancelAll(): void {
        this.#sessions.forEach(({ session }) => session.cancel());
    }

    /** Lets sessions continue after a fault ended. */
    pump(): void {
        this.#sessions.forEach(({ session }) => session.pump());
    }

    #createServer(): Server {
        return createServer({ noDelay: true }, (socket) => {
            this.#sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => this.#sockets.delete(socket));
            this.#readFirstPacket(socket);
        });
    }

    #readFirstPacket(socket: Socket): void {
        let received: Buffer = Buffer.alloc(0);
        const onData = (chunk: Buffer): void => {
            received = Buffer.concat([received, chunk]);
            const read = readStartupPacket(received);
            if (read === undefined) {
                return;
            }
            received = received.subarray(read.size);
            const { packet } = read;
            if (packet.kind === "encryption" || packet.kind === "gssEncryption") {
                socket.write("N");
                return;
            }
            socket.off("data", onData);
            if (packet.kind === "startup") {
                socket.pause();
                void this.#start(socket, packet.parameters, received);
            }
            else {
                if (packet.kind === "cancel" && this.#sessions.get(packet.processId)?.secretKey === packet.secretKey) {
                    this.#sessions.get(packet.processId)?.session.cancel();
                }
                socket.destroy();
            }
        };
        socket.on("data", onData);
    }

    async #start(socket: Socket, parameters: ReadonlyMap<string, string>, early: Buffer): Promise<void> {
        if (this.#open >= this.#options.connections) {
            this.#refused++;
            socket.end(messages.errorResponse("53300", "sorry, too many clients already", "FATAL"));
            socket.resume();
            return;
        }
        this.#open++;
        this.#maxOpen = Math.max(this.#maxOpen, this.#open);
        socket.once("close", () => this.#open--);
        if (this.#options.connectDelayMs > 0) {
            await sleep(this.#options.connectDelayMs);
        }
        while (this.#options.faults.holdRequests && !socket.destroyed) {
            await sleep(5);
        }
        const { authentication } = this.#options;
        if (authentication === undefined || await checkPassword(socket, authentication, parameters.get("user") ?? "")) {
            this.#openSession(socket, parameters, early);
        }
        else {
            socket.end(messages.errorResponse("28P01", "password authentication failed", "FATAL"));
        }
    }

    #openSession(socket: Socket, parameters: ReadonlyMap<string, string>, early: Buffer): void {
        if (socket.destroyed) {
            return;
        }
        const processId = this.#nextProcessId++;
        const secretKey = randomInt(MAX_KEY);
        socket.write(Buffer.concat([
            messages.authentication(0),
            messages.parameterStatus("server_version", "16.0 (stand-in)"),
            messages.parameterStatus("client_encoding", "UTF8"),
            messages.parameterStatus("integer_datetimes", "on"),
            messages.parameterStatus("standard_conforming_strings", "on"),
            messages.backendKeyData(processId, secretKey),
            messages.readyForQuery("I"),
        ]));
        const settings = new Map([
            ["application_name", parameters.get("application_name") ?? ""],
            ["server_version", "16.0 (stand-in)"],
        ]);
        const session = new Session(socket, this.#options.host, this.#options.faults, settings);
        this.#sessions.set(processId, { secretKey, session });
        socket.once("close", () => this.#sessions.delete(processId));
        if (early.length > 0) {
            session.receive(early);
        }
        socket.resume();
    }
}

function checkPassword(socket: Socket, settings: PasswordSettings, user: string): Promise<boolean> {
    const exchange = new PasswordExchange(settings, user);
    const reader = new FrameReader(MAX_PASSWORD_BYTES);
    return new Promise((resolve) => {
        const finish = (accepted: boolean): void => {
            socket.off("data", onData);
            socket.pause();
            resolve(accepted);
        };
        const take = (frame: Frame): void => {
            const step = exchange.answer(frame.bytes.subarray(HEADER_BYTES));
            if (step.send !== undefined) {
                socket.write(step.send);
            }
            if ("accepted" in step) {
                finish(step.accepted);
            }
        };
        const onData = (chunk: Buffer): void => {
            const frames = reader.push(chunk);
            if ("kind" in frames || frames.some((frame) => frame.type !== FrontendType.Password)) {
                finish(false);
            }
            else {
                frames.forEach(take);
            }
        };
        socket.on("data", onData);
        socket.once("close", () => finish(false));
        socket.write(exchange.first());
        socket.resume();
    });
}
