import type { CallerConnection, CallerHandler, Frame } from "../src/ports.js";

export function framesOf(bytes: Uint8Array): Frame[] {
    const frames: Frame[] = [];
    const buffer = Buffer.from(bytes);
    for (let at = 0; at < buffer.length;) {
        const length = 1 + buffer.readUInt32BE(at + 1);
        frames.push({ type: buffer[at]!, bytes: buffer.subarray(at, at + length) });
        at += length;
    }
    return frames;
}

export function message(type: string, body: Uint8Array | string): Buffer {
    const content = Buffer.from(body);
    const head = Buffer.alloc(5);
    head[0] = type.charCodeAt(0);
    head.writeUInt32BE(content.length + 4, 1);
    return Buffer.concat([head, content]);
}

/** A caller that records each received message as a short text, for example `C:INSERT 0 1`. */
export class FakeCaller implements CallerConnection {
    readonly user = "user";
    readonly database = "shop";
    readonly applicationName = "test";
    readonly options: Map<string, string>;
    readonly secretKey: number;
    readonly received: string[] = [];
    token = "";
    acceptsData = true;
    paused = false;
    closedByProxy = false;
    onMessage: (word: string) => void = () => undefined;
    #handler: CallerHandler | undefined;

    constructor(readonly processId: number, options: Record<string, string> = {}) {
        this.secretKey = processId * 7;
        this.options = new Map(Object.entries(options));
    }

    setHandler(handler: CallerHandler): void {
        this.#handler = handler;
    }

    send(bytes: Uint8Array): boolean {
        for (const frame of framesOf(bytes)) {
            this.received.push(word(frame));
            this.onMessage(word(frame));
            const text = Buffer.from(frame.bytes.subarray(5)).toString().split("\0");
            this.token = frame.type === 0x53 && text[0] === "medlarledge.session" ? text[1]! : this.token;
        }
        return this.acceptsData;
    }

    pause(): void {
        this.paused = true;
    }

    resume(): void {
        this.paused = false;
    }

    close(): void {
        this.closedByProxy = true;
    }

    /** Sends messages in one chunk. */
    write(...messages: Uint8Array[]): void {
        this.#handler?.frames(framesOf(Buffer.concat(messages)));
    }

    query(sql: string): void {
        this.write(message("Q", `${sql}\0`));
    }

    drain(): void {
        this.acceptsData = true;
        this.#handler?.drained();
    }

    leave(): void {
        this.#handler?.closed();
    }

    /** Removes and returns the messages received since the last call, without token reports. */
    takeReceived(): string[] {
        return this.received.splice(0).filter(item => !item.startsWith("S:medlarledge.session"));
    }
}

function word(frame: Frame): string {
    const type = String.fromCharCode(frame.type);
    const body = Buffer.from(frame.bytes.subarray(5));
    switch (type) {
        case "C":
        case "S":
            return `${type}:${body.toString().split("\0")[0]!}`;
        case "D":
            return `D:${body.subarray(6).toString()}`;
        case "E": {
            const code = body.toString().split("\0").find(field => field.startsWith("C")) ?? "";
            return `E:${code.slice(1)}`;
        }
        case "Z":
            return `Z:${body.toString()}`;
        default:
            return type;
    }
}

export const extended = {
    parse: (name: string, sql: string) => message("P", `${name}\0${sql}\0\0\0`),
    bind: (statement: string, portal = "") => message("B", `${portal}\0${statement}\0\0\0\0\0\0\0`),
    describe: (name: string) => message("D", `S${name}\0`),
    execute: (portal = "") => message("E", `${portal}\0\0\0\0\0`),
    close: (name: string) => message("C", `S${name}\0`),
    sync: () => message("S", ""),
    flush: () => message("H", ""),
};
