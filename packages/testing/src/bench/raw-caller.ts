import { connect, type Socket } from "node:net";

const PROTOCOL_VERSION = 196_608;
const READY_FOR_QUERY = 0x5a;
const ERROR_RESPONSE = 0x45;
const AUTHENTICATION = 0x52;
const CLEAR_TEXT_PASSWORD = 3;
const HEADER_BYTES = 5;

/** Bytes of a simple query. */
export function queryBytes(sql: string): Buffer {
    return messageBytes("Q", sql);
}

function messageBytes(type: string, content: string): Buffer {
    const text = Buffer.from(`${content}\0`);
    const bytes = Buffer.alloc(HEADER_BYTES + text.length);
    bytes.write(type);
    bytes.writeUInt32BE(text.length + HEADER_BYTES - 1, 1);
    text.copy(bytes, HEADER_BYTES);
    return bytes;
}

function startupBytes(user: string, database: string): Buffer {
    const text = Buffer.from(`user\0${user}\0database\0${database}\0\0`);
    const bytes = Buffer.alloc(8 + text.length);
    bytes.writeUInt32BE(bytes.length, 0);
    bytes.writeUInt32BE(PROTOCOL_VERSION, 4);
    text.copy(bytes, 8);
    return bytes;
}

/** A caller of so little cost that it does not limit the throughput: prepared bytes, one statement at a time. */
export class RawCaller {
    readonly #socket: Socket;
    #held: Buffer = Buffer.alloc(0);
    #failed = false;
    /** A complete answer arrived; `failed` when it held an error. */
    answered: (failed: boolean) => void = () => undefined;
    closed: () => void = () => undefined;
    busy = true;
    sentAt = 0;

    private constructor(socket: Socket) {
        this.#socket = socket;
        socket.on("data", (chunk: Buffer) => this.#take(chunk));
        socket.on("error", () => undefined);
        socket.on("close", () => this.closed());
    }

    /** Resolves when the server is ready for queries. */
    static connect(port: number, user: string, database: string): Promise<RawCaller> {
        const caller = new RawCaller(connect({ port, host: "127.0.0.1", noDelay: true }));
        return new Promise((resolve, reject) => {
            caller.closed = () => reject(new Error("the connection was closed before it was ready"));
            caller.answered = failed => failed ? reject(new Error("the connection was refused")) : resolve(caller);
            caller.#socket.write(startupBytes(user, database));
        });
    }

    /** An error has arrived that no ReadyForQuery followed: a refusal that ends the session. */
    get refused(): boolean {
        return this.#failed;
    }

    send(bytes: Buffer): void {
        this.busy = true;
        this.sentAt = performance.now();
        this.#socket.write(bytes);
    }

    close(): void {
        this.closed = () => undefined;
        this.#socket.destroy();
    }

    #take(chunk: Buffer): void {
        const bytes = this.#held.length === 0 ? chunk : Buffer.concat([this.#held, chunk]);
        let offset = 0;
        while (bytes.length - offset >= HEADER_BYTES) {
            const end = offset + 1 + bytes.readUInt32BE(offset + 1);
            if (end > bytes.length) {
                break;
            }
            const type = bytes[offset] ?? 0;
            if (type === AUTHENTICATION && bytes.readUInt32BE(offset + HEADER_BYTES) === CLEAR_TEXT_PASSWORD) {
                // Hosts ask also when the user is trusted.
                this.#socket.write(messageBytes("p", "any"));
            }
            this.#frame(type);
            offset = end;
        }
        this.#held = bytes.subarray(offset);
    }

    #frame(type: number): void {
        this.#failed ||= type === ERROR_RESPONSE;
        if (type === READY_FOR_QUERY) {
            const failed = this.#failed;
            this.#failed = false;
            this.busy = false;
            this.answered(failed);
        }
    }
}
