import type { CallerConnection } from "./ports.js";

/** Collects the messages of one turn into one write, and holds back what must not leave yet. */
export class Answer {
    readonly #caller: CallerConnection;
    #parts: Uint8Array[] = [];
    #held: Uint8Array[] = [];
    #heldBytes = 0;
    #sent = false;

    constructor(caller: CallerConnection) {
        this.#caller = caller;
    }

    begin(): void {
        this.#parts = [];
        this.#held = [];
        this.#heldBytes = 0;
        this.#sent = false;
    }

    /** Bytes of this answer have been handed to the caller's socket. */
    get sent(): boolean {
        return this.#sent;
    }

    get heldBytes(): number {
        return this.#heldBytes;
    }

    push(bytes: Uint8Array): void {
        const last = this.#parts.at(-1);
        const joined = last === undefined ? undefined : adjacent(last, bytes);
        if (joined === undefined) {
            this.#parts.push(bytes);
        }
        else {
            this.#parts[this.#parts.length - 1] = joined;
        }
    }

    hold(bytes: Uint8Array): void {
        this.#held.push(bytes);
        this.#heldBytes += bytes.length;
    }

    /** Moves everything held to the part that the next flush sends. */
    unhold(): void {
        for (const bytes of this.#held) {
            this.push(bytes);
        }
        this.#held = [];
        this.#heldBytes = 0;
    }

    /** Drops what has not left yet. */
    drop(): void {
        this.#parts = [];
        this.#held = [];
        this.#heldBytes = 0;
    }

    /** Returns false when the caller's socket is full. */
    flush(): boolean {
        const [first] = this.#parts;
        if (first === undefined) {
            return true;
        }
        const bytes = this.#parts.length === 1 ? first : Buffer.concat(this.#parts);
        this.#parts.length = 0;
        this.#sent = true;
        return this.#caller.send(bytes);
    }
}

/** One view over two pieces that lie next to each other in the same memory, so that no copy is needed. */
function adjacent(left: Uint8Array, right: Uint8Array): Uint8Array | undefined {
    if (left.buffer !== right.buffer || left.byteOffset + left.length !== right.byteOffset) {
        return undefined;
    }
    return new Uint8Array(left.buffer, left.byteOffset, left.length + right.length);
}
