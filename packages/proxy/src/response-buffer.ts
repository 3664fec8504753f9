import type { CallerConnection } from "./ports.js";

/** Collects the messages of one turn into one write, and holds back what must not leave yet. */
export class ResponseBuffer {
    readonly #caller: CallerConnection;
    #outgoing: Uint8Array[] = [];
    #held: Uint8Array[] = [];
    #heldBytes = 0;
    #hasSentBytes = false;

    constructor(caller: CallerConnection) {
        this.#caller = caller;
    }

    begin(): void {
        this.#outgoing = [];
        this.#held = [];
        this.#heldBytes = 0;
        this.#hasSentBytes = false;
    }

    /** Bytes of this answer have been handed to the caller's socket. */
    get hasSentBytes(): boolean {
        return this.#hasSentBytes;
    }

    get heldBytes(): number {
        return this.#heldBytes;
    }

    push(bytes: Uint8Array): void {
        const last = this.#outgoing.at(-1);
        const joined = last === undefined ? undefined : joinIfAdjacent(last, bytes);
        if (joined === undefined) {
            this.#outgoing.push(bytes);
        }
        else {
            this.#outgoing[this.#outgoing.length - 1] = joined;
        }
    }

    hold(bytes: Uint8Array): void {
        this.#held.push(bytes);
        this.#heldBytes += bytes.length;
    }

    /** Moves everything held to the part that the next flush sends. */
    releaseHeld(): void {
        for (const bytes of this.#held) {
            this.push(bytes);
        }
        this.#held = [];
        this.#heldBytes = 0;
    }

    /** Drops what has not left yet. */
    discard(): void {
        this.#outgoing = [];
        this.#held = [];
        this.#heldBytes = 0;
    }

    /** Returns false when the caller's socket is full. */
    flush(): boolean {
        const [first] = this.#outgoing;
        if (first === undefined) {
            return true;
        }
        const bytes = this.#outgoing.length === 1 ? first : Buffer.concat(this.#outgoing);
        this.#outgoing.length = 0;
        this.#hasSentBytes = true;
        return this.#caller.send(bytes);
    }
}

/** One view over two pieces that lie next to each other in the same memory, so that no copy is needed. */
function joinIfAdjacent(left: Uint8Array, right: Uint8Array): Uint8Array | undefined {
    if (left.buffer !== right.buffer || left.byteOffset + left.length !== right.byteOffset) {
        return undefined;
    }
    return new Uint8Array(left.buffer, left.byteOffset, left.length + right.length);
}
