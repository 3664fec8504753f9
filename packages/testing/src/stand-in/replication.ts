import { HEADER_BYTES } from "@medlarledge/postgres";
import { Packr } from "msgpackr";
import { connect, createServer, type Server, type Socket } from "node:net";
import { listen, portOf } from "./listening.js";
import { commonEnd, type Fork, type LogRecord, type Store } from "./store.js";

/** Where a primary's log can be followed. */
export interface ReplicationAddress {
    readonly host: string;
    readonly port: number;
}

type ReplicationMessage =
    | { readonly kind: "follow"; readonly position: number; readonly history: readonly Fork[]; }
    | { readonly kind: "start"; readonly position: number; readonly history: readonly Fork[]; }
    | { readonly kind: "records"; readonly records: readonly LogRecord[]; };

/** Finds a primary's log; undefined when it cannot be found now. */
export type Locate = () => Promise<ReplicationAddress | undefined>;

const RECONNECT_MS = 50;
const LENGTH_BYTES = HEADER_BYTES - 1;
const packr = new Packr({ useRecords: false });

function send(socket: Socket, message: ReplicationMessage): void {
    const body = packr.pack(message);
    const header = Buffer.alloc(LENGTH_BYTES);
    header.writeUInt32BE(body.length);
    socket.write(Buffer.concat([header, body]));
}

function receive(socket: Socket, take: (message: ReplicationMessage) => void): void {
    let held: Buffer = Buffer.alloc(0);
    socket.on("error", () => undefined);
    socket.on("data", (chunk: Buffer) => {
        held = Buffer.concat([held, chunk]);
        while (held.length >= LENGTH_BYTES && held.length >= LENGTH_BYTES + held.readUInt32BE(0)) {
            const end = LENGTH_BYTES + held.readUInt32BE(0);
            take(packr.unpack(held.subarray(LENGTH_BYTES, end)) as ReplicationMessage);
            held = held.subarray(end);
        }
    });
}

/** The primary's side: sends each follower the log from the end that both have in common. */
export class ReplicationServer {
    readonly #store: Store;
    readonly #isPrimary: () => boolean;
    readonly #server: Server;
    readonly #sockets = new Set<Socket>();
    readonly #followers = new Set<Socket>();

    constructor(store: Store, isPrimary: () => boolean) {
        this.#store = store;
        this.#isPrimary = isPrimary;
        this.#server = createServer({ noDelay: true }, (socket) => this.#accept(socket));
    }

    get port(): number {
        return portOf(this.#server);
    }

    get followers(): number {
        return this.#followers.size;
    }

    listen(host: string, port: number): Promise<void> {
        return listen(this.#server, host, port);
    }

    publish(record: LogRecord): void {
        for (const socket of this.#followers) {
            send(socket, { kind: "records", records: [record] });
        }
    }

    /** Followers connect again, and are refused while this is no primary. */
    disconnect(): void {
        this.#sockets.forEach((socket) => socket.destroy());
    }

    close(): void {
        this.#server.close();
        this.disconnect();
    }

    #accept(socket: Socket): void {
        this.#sockets.add(socket);
        socket.on("close", () => {
            this.#sockets.delete(socket);
            this.#followers.delete(socket);
        });
        receive(socket, (message) => {
            if (message.kind !== "follow" || !this.#isPrimary()) {
                socket.destroy();
                return;
            }
            const { history } = this.#store;
            const position = commonEnd(history, this.#store.position, message.history, message.position);
            send(socket, { kind: "start", position, history });
            send(socket, { kind: "records", records: this.#store.recordsAfter(position) });
            this.#followers.add(socket);
        });
    }
}

/**
 * The replica's side. A record becomes visible `lagMs` after its arrival. One that waits counts as not received: a
 * promotion discards it, so that the lag is what an asynchronous failover loses.
 */
export class ReplicationLink {
    readonly #store: Store;
    readonly #locate: Locate;
    /** Kept for as long as it accepts connections, so that a retry needs no query. */
    #address: ReplicationAddress | undefined;
    readonly #lagMs: () => number;
    #waiting: { readonly record: LogRecord; readonly arrivedAt: number; }[] = [];
    #socket: Socket | undefined;
    #timer: NodeJS.Timeout | undefined;
    #retry: NodeJS.Timeout | undefined;
    #stopped = false;

    constructor(store: Store, locate: Locate, lagMs: () => number) {
        this.#store = store;
        this.#locate = locate;
        this.#lagMs = lagMs;
        void this.#connect();
    }

    /** Drops records that wait. */
    stop(): void {
        this.#stopped = true;
        this.#waiting = [];
        clearTimeout(this.#timer);
        clearTimeout(this.#retry);
        this.#socket?.destroy();
    }

    /** Applies what is due; called again after a change of the lag. */
    apply(): void {
        clearTimeout(this.#timer);
        const now = performance.now();
        const lagMs = this.#lagMs();
        let due = 0;
        for (const { record, arrivedAt } of this.#waiting) {
            if (arrivedAt + lagMs > now) {
                break;
            }
            this.#store.apply(record);
            due++;
        }
        this.#waiting.splice(0, due);
        const next = this.#waiting[0];
        if (next !== undefined && !this.#stopped) {
            this.#timer = setTimeout(() => this.apply(), Math.max(1, next.arrivedAt + lagMs - now));
        }
    }

    async #connect(): Promise<void> {
        const address = this.#address ?? await this.#locate();
        if (this.#stopped) {
            return;
        }
        if (address === undefined) {
            this.#connectLater();
            return;
        }
        const socket = connect({ ...address, noDelay: true });
        this.#socket = socket;
        this.#address = undefined;
        receive(socket, (message) => this.#take(message));
        socket.once("connect", () => {
            this.#address = address;
            send(socket, { kind: "follow", position: this.#store.position, history: this.#store.history });
        });
        socket.once("close", () => {
            if (!this.#stopped) {
                this.#connectLater();
            }
        });
    }

    #connectLater(): void {
        this.#retry = setTimeout(() => void this.#connect(), RECONNECT_MS);
    }

    #take(message: ReplicationMessage): void {
        if (this.#stopped) {
            return;
        }
        if (message.kind === "start") {
            this.#waiting = [];
            this.#store.rewind(message.position, message.history);
        }
        else if (message.kind === "records") {
            const arrivedAt = performance.now();
            message.records.forEach((record) => this.#waiting.push({ record, arrivedAt }));
            this.apply();
        }
    }
}
