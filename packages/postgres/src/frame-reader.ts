/** A whole message with its header. `bytes` is a view of received memory; nothing writes to that memory again. */
export interface Frame {
    readonly type: number;
    readonly bytes: Buffer;
}

export type FrameError =
    /** The length field is less than the four bytes that it counts itself. */
    | { readonly kind: "badLength"; readonly type: number; readonly length: number; }
    | { readonly kind: "tooLarge"; readonly type: number; readonly length: number; readonly maxBytes: number; };

/** Type code and length field. */
export const HEADER_BYTES = 5;

/** First allocation for a message that arrives in pieces; a false length field reserves no more than this. */
const FIRST_ALLOCATION_BYTES = 8 * 1024;

/**
 * Splits a byte stream into whole messages.
 *
 * Messages that lie within one chunk are views of it. Only a message cut by a chunk border is copied, once for its
 * pieces and for a long message as often as its buffer doubles.
 */
export class FrameReader {
    readonly #maxBytes: number;
    #partial: Buffer = Buffer.alloc(0);
    #have = 0;
    #error: FrameError | undefined;

    /** `maxBytes` bounds one message, header included. */
    constructor(maxBytes: number) {
        this.#maxBytes = maxBytes;
    }

    /** Bytes held of a message that is not complete. */
    get pendingBytes(): number {
        return this.#have;
    }

    /**
     * Returns the messages completed by this chunk. An error is final; messages that precede the impossible length
     * in the same chunk are dropped with it, so they are never run.
     */
    push(chunk: Buffer): readonly Frame[] | FrameError {
        if (this.#error !== undefined) {
            return this.#error;
        }
        const frames: Frame[] = [];
        let offset = this.#have > 0 ? this.#completePartial(chunk, frames) : 0;
        while (chunk.length - offset >= HEADER_BYTES && this.#failure() === undefined) {
            const size = this.#frameSize(chunk, offset);
            if (size === 0 || chunk.length - offset < size) {
                break;
            }
            frames.push({ type: chunk[offset] ?? 0, bytes: chunk.subarray(offset, offset + size) });
            offset += size;
        }
        if (offset < chunk.length && this.#failure() === undefined) {
            this.#hold(chunk, offset, chunk.length - offset);
        }
        return this.#failure() ?? frames;
    }

    /** A method, because the compiler assumes that the field cannot change within `push`. */
    #failure(): FrameError | undefined {
        return this.#error;
    }

    /** Adds what the held message lacks, and returns how many bytes of the chunk that took. */
    #completePartial(chunk: Buffer, frames: Frame[]): number {
        let offset = 0;
        if (this.#have < HEADER_BYTES) {
            offset = Math.min(HEADER_BYTES - this.#have, chunk.length);
            this.#hold(chunk, 0, offset);
            if (this.#have < HEADER_BYTES) {
                return offset;
            }
        }
        const size = this.#frameSize(this.#partial, 0);
        if (size === 0) {
            return offset;
        }
        const taken = Math.min(size - this.#have, chunk.length - offset);
        this.#hold(chunk, offset, taken);
        if (this.#have === size) {
            frames.push({ type: this.#partial[0] ?? 0, bytes: this.#partial.subarray(0, size) });
            this.#partial = Buffer.alloc(0);
            this.#have = 0;
        }
        return offset + taken;
    }

    #hold(chunk: Buffer, offset: number, length: number): void {
        const needed = this.#have + length;
        if (needed > this.#partial.length) {
            const grown = Buffer.allocUnsafe(this.#capacityFor(needed, chunk, offset));
            this.#partial.copy(grown, 0, 0, this.#have);
            this.#partial = grown;
        }
        chunk.copy(this.#partial, this.#have, offset, offset + length);
        this.#have = needed;
    }

    /** The message's own size where that is known and small, else at least twice what is held. */
    #capacityFor(needed: number, chunk: Buffer, offset: number): number {
        const header = this.#have >= HEADER_BYTES ? this.#partial : undefined;
        let size = header === undefined ? 0 : header.readUInt32BE(1) + 1;
        if (this.#have === 0 && needed >= HEADER_BYTES) {
            size = chunk.readUInt32BE(offset + 1) + 1;
        }
        if (size === 0) {
            return needed;
        }
        return Math.max(needed, Math.min(size, Math.max(FIRST_ALLOCATION_BYTES, needed * 2)));
    }

    /** Size of the message whose header starts at the offset; 0 and an error for an impossible one. */
    #frameSize(bytes: Buffer, offset: number): number {
        const length = bytes.readInt32BE(offset + 1);
        if (length >= 4 && length < this.#maxBytes) {
            return length + 1;
        }
        const type = bytes[offset] ?? 0;
        this.#error = length < 4
            ? { kind: "badLength", type, length }
            : { kind: "tooLarge", type, length, maxBytes: this.#maxBytes };
        return 0;
    }
}

/** States an error for logs and for the caller. */
export function describeFrameError(error: FrameError): string {
    const type = `0x${error.type.toString(16).padStart(2, "0")}`;
    return error.kind === "badLength"
        ? `message ${type} has impossible length ${error.length}`
        : `message ${type} of ${error.length} bytes exceeds the limit of ${error.maxBytes}`;
}
