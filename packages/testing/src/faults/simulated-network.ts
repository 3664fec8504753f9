import type { SimulatedTime } from "./simulated-time.js";

/** Time after which a message that cannot pass is tried again, as TCP does. */
const RETRY_MS = 20;

/** Which processes reach each other, and how long a message takes. */
export class SimulatedNetwork {
    readonly #time: SimulatedTime;
    readonly #cuts = new Map<string, number>();
    /** Extra delay of what leaves a process, in ms. */
    readonly slow = new Map<string, number>();

    constructor(time: SimulatedTime) {
        this.#time = time;
    }

    /** Cuts are counted, so that two faults may cut the same pair. */
    cut(left: string, right: string): void {
        const key = pair(left, right);
        this.#cuts.set(key, (this.#cuts.get(key) ?? 0) + 1);
    }

    join(left: string, right: string): void {
        const key = pair(left, right);
        this.#cuts.set(key, Math.max(0, (this.#cuts.get(key) ?? 0) - 1));
    }

    reaches(left: string, right: string): boolean {
        return left === right || (this.#cuts.get(pair(left, right)) ?? 0) === 0;
    }

    delay(from: string): number {
        return 0.5 + this.#time.random() + (this.slow.get(from) ?? 0);
    }

    /** Delivers once after the delay, or never while the two are cut off from each other. */
    datagram(from: string, to: string, deliver: () => void): void {
        this.#time.at(this.delay(from), () => this.reaches(from, to) ? deliver() : undefined);
    }

    /** A connection: messages arrive in order, and wait while the two are cut off from each other. */
    stream(from: string, to: string): Stream {
        return new Stream(this.#time, this, from, to);
    }
}

/** One direction of a connection. */
export class Stream {
    readonly #waiting: (() => void)[] = [];
    #dueAt = 0;
    #closed = false;

    constructor(
        readonly time: SimulatedTime,
        readonly network: SimulatedNetwork,
        readonly from: string,
        readonly to: string,
    ) {}

    send(deliver: () => void): void {
        this.#waiting.push(deliver);
        this.#dueAt = Math.max(this.#dueAt, this.time.now + this.network.delay(this.from));
        this.time.at(this.#dueAt - this.time.now, () => this.#deliver());
    }

    close(): void {
        this.#closed = true;
        this.#waiting.length = 0;
    }

    #deliver(): void {
        if (this.#closed) {
            return;
        }
        if (!this.network.reaches(this.from, this.to)) {
            this.time.at(RETRY_MS, () => this.#deliver());
            return;
        }
        this.#waiting.shift()?.();
    }
}

function pair(left: string, right: string): string {
    return left < right ? `${left}|${right}` : `${right}|${left}`;
}
