import { createConnection, type Socket } from "node:net";
import { expect } from "vitest";
import {
    type CallerConnection,
    CallerListener,
    type CallerListenerOptions,
    type Frame,
    FrontendType,
    messages,
} from "../src/index.js";

/** A listener whose callers get one row with the number of their query back. */
export interface Fixture {
    readonly listener: CallerListener;
    readonly port: number;
    readonly callers: CallerConnection[];
    readonly faults: string[];
    readonly cancelled: (readonly [number, number])[];
    closed: number;
}

export async function startListener(options: Partial<CallerListenerOptions> = {}): Promise<Fixture> {
    let nextProcessId = 70_000;
    const fixture = { callers: [], faults: [], cancelled: [], closed: 0 } as unknown as Fixture & {
        listener: CallerListener;
        port: number;
    };
    fixture.listener = new CallerListener({
        maxCallers: 100,
        backendKey: () => ({ processId: nextProcessId++, secretKey: -5 }),
        cancel: (processId, secretKey) => fixture.cancelled.push([processId, secretKey]),
        onProtocolFault: ({ reason }) => fixture.faults.push(reason),
        onCaller: (caller) => {
            fixture.callers.push(caller);
            answerQueries(caller, () => fixture.closed++);
        },
        ...options,
    });
    const error = await fixture.listener.listen("127.0.0.1", 0);
    if (error !== undefined) {
        throw new Error(error.message);
    }
    fixture.port = fixture.listener.port!;
    return fixture;
}

function answerQueries(caller: CallerConnection, closed: () => void): void {
    let count = 0;
    const answer = (frame: Frame): void => {
        if (frame.type === FrontendType.Query) {
            caller.send(Buffer.concat([
                messages.rowDescription([{ name: "n", typeId: 23 }]),
                messages.dataRow([String(++count)]),
                messages.commandComplete("SELECT 1"),
                messages.readyForQuery("I"),
            ]));
        }
        else if (frame.type === FrontendType.Terminate) {
            caller.close();
        }
    };
    caller.setHandler({ frames: (frames) => frames.forEach(answer), drained: () => undefined, closed });
}

/** A raw connection that collects what it receives. */
export class RawCaller {
    readonly socket: Socket;
    received: Buffer = Buffer.alloc(0);
    readonly closed: Promise<void>;

    constructor(port: number) {
        this.socket = createConnection({ port, host: "127.0.0.1", noDelay: true });
        this.socket.on("error", () => undefined);
        this.socket.on("data", (chunk: Buffer) => this.received = Buffer.concat([this.received, chunk]));
        this.closed = new Promise((resolve) => this.socket.once("close", () => resolve()));
    }

    async receives(count: number): Promise<Buffer> {
        while (this.received.length < count) {
            await new Promise((resolve) => this.socket.once("data", resolve));
        }
        return this.received;
    }
}

/** Waits for a state that must come; the limit only ends a test that has failed. */
export function eventually<T>(read: () => T | Promise<T>) {
    return expect.poll(read, { interval: 5, timeout: 20_000 });
}
