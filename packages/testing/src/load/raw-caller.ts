import { connect, type Socket } from "node:net";

const READY_BYTES = 6;
const READY_LETTER = 0x5a;
const ERROR_LETTER = 0x45;
const PROTOCOL_VERSION = 196_608;

/** One connection that sends prepared bytes and only looks for the end of each answer. */
export class RawCaller {
    readonly #socket: Socket;
    #done: (ok: boolean) => void = () => undefined;
    #closed = false;

    private constructor(socket: Socket) {
        this.#socket = socket;
        socket.on("data", (chunk: Buffer) => {
            if (asksPassword(chunk)) {
                this.#socket.write(message("p", "trust"));
            }
            else if (endsReady(chunk)) {
                this.#done(chunk[0] !== ERROR_LETTER);
            }
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            this.#closed = true;
            this.#done(false);
        });
    }

    static async connect(port: number, database: string): Promise<RawCaller> {
        const socket = connect({ host: "127.0.0.1", port, noDelay: true });
        const caller = new RawCaller(socket);
        if (!await caller.run(startup(database))) {
            throw new Error("a caller's start-up failed");
        }
        return caller;
    }

    /** Sends one request and waits for its ReadyForQuery. */
    run(bytes: Buffer): Promise<boolean> {
        return new Promise(resolve => this.send(bytes, resolve));
    }

    send(bytes: Buffer, done: (ok: boolean) => void): void {
        if (this.#closed) {
            done(false);
            return;
        }
        this.#done = done;
        this.#socket.write(bytes);
    }

    close(): void {
        this.#socket.destroy();
    }
}

export function query(text: string): Buffer {
    return message("Q", text);
}

function message(type: string, text: string): Buffer {
    const body = Buffer.from(`${text}\0`);
    const bytes = Buffer.alloc(5 + body.length);
    bytes.write(type);
    bytes.writeInt32BE(4 + body.length, 1);
    body.copy(bytes, 5);
    return bytes;
}

function startup(database: string): Buffer {
    const body = Buffer.from(`user\0quickstart\0database\0${database}\0\0`);
    const bytes = Buffer.alloc(8 + body.length);
    bytes.writeInt32BE(bytes.length, 0);
    bytes.writeInt32BE(PROTOCOL_VERSION, 4);
    body.copy(bytes, 8);
    return bytes;
}

function endsReady(chunk: Buffer): boolean {
    const at = chunk.length - READY_BYTES;
    return at >= 0 && chunk[at] === READY_LETTER && chunk[at + 4] === 5;
}

/** AuthenticationCleartextPassword, the only message of its size that starts with this letter. */
function asksPassword(chunk: Buffer): boolean {
    return chunk.length === 9 && chunk[0] === 0x52 && chunk[8] === 3;
}
