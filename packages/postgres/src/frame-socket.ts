import type { Socket } from "node:net";
import { closeSoon } from "./close-soon.js";
import { describeFrameError, type Frame, FrameReader } from "./frame-reader.js";

export interface FrameSocketHandler {
    frames(frames: readonly Frame[]): void;
    drained(): void;
    closed(reason: string): void;
}

/**
 * A socket behind the start-up phase: whole messages in, raw bytes out.
 * Nothing is read before a handler is set, so no message is lost between start-up and use.
 */
export class FrameSocket {
    readonly #socket: Socket;
    readonly #reader: FrameReader;
    readonly #findFault: (frame: Frame) => string | undefined;
    readonly #faulty: (reason: string) => void;
    #early: Buffer;
    #handler: FrameSocketHandler | undefined;
    #paused = false;
    #closeReason: string | undefined;

    /**
     * `early` are bytes that arrived together with the end of the start-up. `findFault` checks each message;
     * `faulty` is called at most once, before the connection closes.
     */
    constructor(
        socket: Socket,
        early: Buffer,
        maxMessageBytes: number,
        findFault: (frame: Frame) => string | undefined,
        faulty: (reason: string) => void,
    ) {
        this.#socket = socket;
        this.#early = early;
        this.#reader = new FrameReader(maxMessageBytes);
        this.#findFault = findFault;
        this.#faulty = faulty;
        socket.pause();
        socket.on("error", (error) => this.#closeReason ??= error.message);
        socket.on("close", () => this.#closed());
        socket.on("drain", () => this.#handler?.drained());
    }

    /** The first call starts the reading; a later call replaces the handler. */
    setHandler(handler: FrameSocketHandler): void {
        const isFirst = this.#handler === undefined;
        this.#handler = handler;
        if (!isFirst) {
            return;
        }
        // A connection that closed before it had a handler is reported too, so that its owner can forget it.
        if (this.#socket.closed) {
            process.nextTick(() => this.#closed());
            return;
        }
        this.#socket.on("data", (chunk: Buffer) => this.#receive(chunk));
        process.nextTick(() => this.#flow());
    }

    /** Returns false when the caller of this method should wait for `drained`. */
    send(bytes: Uint8Array): boolean {
        return this.#socket.writable && this.#socket.write(bytes);
    }

    pause(): void {
        this.#paused = true;
        this.#socket.pause();
    }

    resume(): void {
        this.#paused = false;
        process.nextTick(() => this.#flow());
    }

    /** Sends what is queued, then closes. */
    close(): void {
        this.#closeReason ??= "closed here";
        closeSoon(this.#socket);
    }

    /** Gives the early bytes first. Their handler may pause the connection again. */
    #flow(): void {
        if (this.#handler !== undefined && !this.#paused && this.#early.length > 0) {
            const early = this.#early;
            this.#early = Buffer.alloc(0);
            this.#receive(early);
        }
        if (this.#handler !== undefined && !this.#paused) {
            this.#socket.resume();
        }
    }

    #receive(chunk: Buffer): void {
        if (this.#closeReason !== undefined) {
            return;
        }
        const frames = this.#reader.push(chunk);
        if ("kind" in frames) {
            this.#fail(describeFrameError(frames));
            return;
        }
        for (const frame of frames) {
            const fault = this.#findFault(frame);
            if (fault !== undefined) {
                this.#fail(fault);
                return;
            }
        }
        if (frames.length > 0) {
            this.#handler?.frames(frames);
        }
    }

    #fail(reason: string): void {
        this.#faulty(reason);
        this.#closeReason = reason;
        closeSoon(this.#socket);
    }

    #closed(): void {
        const handler = this.#handler;
        if (handler !== undefined) {
            this.#handler = { frames: () => undefined, drained: () => undefined, closed: () => undefined };
            handler.closed(this.#closeReason ?? "closed by the other side");
        }
    }
}
