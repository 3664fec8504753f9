import { write } from "node:fs";

/** Bytes that may wait for a reader that does not read; further lines are counted and left out. */
const MAX_WAITING_BYTES = 256 * 1024;

/** Lines are written together after this time; a line costs no system call of its own. */
const FLUSH_MS = 50;

/** Writes to a file descriptor; `done` is called when the bytes are written or cannot be. */
export type WriteBytes = (bytes: Buffer, done: (error: Error | undefined, written: number) => void) => void;

/** Writes lines without ever waiting for the reader: what does not fit into a bounded buffer is counted and left out. */
export class LineWriter {
    readonly #write: WriteBytes;
    #waiting: string[] = [];
    #waitingBytes = 0;
    #lost = 0;
    #isWriting = false;
    #isClosed = false;

    constructor(descriptor: number, writeBytes: WriteBytes = writeTo(descriptor)) {
        this.#write = writeBytes;
    }

    /** Lines that were left out because nobody read. */
    get lost(): number {
        return this.#lost;
    }

    line(text: string): void {
        if (this.#isClosed || this.#waitingBytes + text.length > MAX_WAITING_BYTES) {
            this.#lost += 1;
            return;
        }
        this.#waiting.push(text);
        this.#waitingBytes += text.length;
        this.#schedule();
    }

    /** Writes what waits at once, for the end of the process. */
    flush(): Promise<void> {
        return new Promise(resolve => {
            const check = (): void => {
                if (this.#isClosed || (!this.#isWriting && this.#waiting.length === 0)) {
                    resolve();
                    return;
                }
                this.#writeWaiting();
                setTimeout(check, 1);
            };
            check();
        });
    }

    #schedule(): void {
        if (!this.#isWriting && this.#waiting.length === 1) {
            setTimeout(() => this.#writeWaiting(), FLUSH_MS);
        }
    }

    #writeWaiting(): void {
        if (this.#isWriting || this.#waiting.length === 0) {
            return;
        }
        const bytes = Buffer.from(this.#waiting.join(""));
        this.#waiting = [];
        this.#isWriting = true;
        this.#writeAll(bytes);
    }

    #writeAll(bytes: Buffer): void {
        this.#write(bytes, (error, written) => {
            if (error !== undefined) {
                // A reader that is gone must not end the process.
                this.#isClosed = true;
                this.#waiting = [];
            }
            else if (written < bytes.byteLength) {
                this.#writeAll(bytes.subarray(written));
                return;
            }
            this.#isWriting = false;
            this.#waitingBytes = this.#waiting.reduce((sum, line) => sum + line.length, 0);
            if (this.#waiting.length > 0) {
                this.#writeWaiting();
            }
        });
    }
}

function writeTo(descriptor: number): WriteBytes {
    return (bytes, done) => write(descriptor, bytes, (error, written) => done(error ?? undefined, written));
}
