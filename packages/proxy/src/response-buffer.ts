import type { CallerConnection } from "./ports.js";

/**
 * Collects the messages to a caller within one turn of the event loop into one socket write, and holds back those that
 * must not be sent yet.
 */
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

    /** Part of this response has been written to the caller's socket. */
    get hasSentBytes(): boolean {
        return this.#hasSentBytes;
    }

    get heldBytes(): number {
        return this.#heldBytes;
    }

    /** Adds a message to those that the next flush sends. */
    push(bytes: Uint8Array): void {
        const last = this.#outgoing.at(-1);
        const merged = last === undefined ? undefined : joinIfAdjacent(last, bytes);
        if (merged === undefined) {
            this.#outgoing.push(bytes);
        }
        else {
            this.#outgoing[this.#outgoing.length - 1] = merged;
        }
    }

    /** Holds a message back until `releaseHeld`. */
    hold(bytes: Uint8Array): void {
        this.#held.push(bytes);
        this.#heldBytes += bytes.length;
    }

    /** Moves all held messages to those that the next flush sends. */
    releaseHeld(): void {
        for (const bytes of this.#held) {
            this.push(bytes);
        }
        this.#held = [];
        this.#heldBytes = 0;
    }

    /** Discards everything that has not been sent. */
    discard(): void {
        this.#outgoing = [];
        this.#held = [];
        this.#heldBytes = 0;
    }

    /** Sends the collected messages. Returns false when the caller's socket buffer is full. */
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

/** Returns one view over two adjacent ranges of the same buffer, which avoids a copy, or undefined if not adjacent. */
function joinIfAdjacent(left: Uint8Array, right: Uint8Array): Uint8Array | undefined {
    if (left.buffer !== right.buffer || left.byteOffset + left.length !== right.byteOffset) {
        return undefined;
    }
    return new Uint8Array(left.buffer, left.byteOffset, left.length + right.length);
}
