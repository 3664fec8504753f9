import { connect, createServer, type Server, type Socket } from "node:net";

/** One direction of a relayed connection: chunks leave in order, each after its delay. */
class DelayedPipe {
    readonly #to: Socket;
    readonly #relay: Relay;
    readonly #queue: { readonly chunk: Buffer | undefined; readonly dueAt: number; }[] = [];
    #scheduled = false;

    constructor(relay: Relay, from: Socket, to: Socket) {
        this.#relay = relay;
        this.#to = to;
        from.on("data", (chunk: Buffer) => this.#take(chunk));
        from.on("close", () => this.#take(undefined));
        from.on("error", () => undefined);
    }

    #take(chunk: Buffer | undefined): void {
        if (this.#relay.isCut) {
            return;
        }
        const earliest = this.#queue.at(-1)?.dueAt ?? 0;
        const dueAt = Math.max(earliest, performance.now() + this.#relay.nextDelayMs());
        this.#queue.push({ chunk, dueAt });
        this.#schedule();
    }

    /** Timers are exact to a millisecond only, so the rest of a delay is awaited in the event loop. */
    #schedule(): void {
        const first = this.#queue[0];
        if (first === undefined || this.#scheduled) {
            return;
        }
        this.#scheduled = true;
        const remainingMs = first.dueAt - performance.now();
        if (remainingMs > 2) {
            setTimeout(() => this.#flush(), Math.floor(remainingMs) - 1);
        }
        else {
            setImmediate(() => this.#flush());
        }
    }

    #flush(): void {
        this.#scheduled = false;
        const now = performance.now();
        for (let first = this.#queue[0]; first !== undefined && first.dueAt <= now; first = this.#queue[0]) {
            this.#queue.shift();
            this.#pass(first.chunk);
        }
        this.#schedule();
    }

    #pass(chunk: Buffer | undefined): void {
        if (this.#relay.isCut) {
            return;
        }
        if (chunk === undefined) {
            this.#to.destroy();
        }
        else {
            this.#to.write(chunk);
        }
    }
}

/** A TCP relay on loopback with a settable one-way delay. While it is cut it passes nothing and closes nothing. */
export class Relay {
    readonly #server: Server;
    readonly #sockets = new Set<Socket>();
    #targetPort: number;
    #isCut = false;
    /** Delay of the next chunk in one direction. */
    nextDelayMs: () => number;

    constructor(targetPort: number, nextDelayMs: () => number) {
        this.#targetPort = targetPort;
        this.nextDelayMs = nextDelayMs;
        this.#server = createServer({ noDelay: true }, socket => this.#accept(socket));
    }

    get isCut(): boolean {
        return this.#isCut;
    }

    get port(): number {
        const address = this.#server.address();
        return typeof address === "object" && address !== null ? address.port : 0;
    }

    listen(): Promise<void> {
        return new Promise(resolve => this.#server.listen(0, "127.0.0.1", resolve));
    }

    setTarget(port: number): void {
        this.#targetPort = port;
    }

    cut(): void {
        this.#isCut = true;
    }

    /** Connections that lost bytes during the cut are closed: a stream with a hole must not go on. */
    heal(): void {
        this.#isCut = false;
        this.#sockets.forEach(socket => socket.destroy());
    }

    close(): void {
        this.#server.close();
        this.#sockets.forEach(socket => socket.destroy());
    }

    #accept(caller: Socket): void {
        const target = connect({ port: this.#targetPort, host: "127.0.0.1", noDelay: true });
        for (const socket of [caller, target]) {
            this.#sockets.add(socket);
            socket.once("close", () => this.#sockets.delete(socket));
        }
        new DelayedPipe(this, caller, target);
        new DelayedPipe(this, target, caller);
    }
}
