import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Faults of answers, shared by all sessions of an endpoint and changed while it runs. */
export interface Faults {
    /** Statements are neither run nor answered until resumed. */
    holdRequests: boolean;
    /** Statements run, and their answers are kept back until resumed. */
    holdAnswers: boolean;
    lateMs: number;
    /** Number of the next answers to end in the middle, with the connection closed. */
    cutAnswers: number;
}

export const NO_FAULTS: Readonly<Faults> = { holdRequests: false, holdAnswers: false, lateMs: 0, cutAnswers: 0 };

/** Sends the answers of one session in order, with the faults of the moment. */
export class AnswerQueue {
    readonly #socket: Socket;
    readonly #faults: Faults;
    #pending: Buffer[] = [];
    #last = Promise.resolve();
    #late = 0;

    constructor(socket: Socket, faults: Faults) {
        this.#socket = socket;
        this.#faults = faults;
    }

    add(bytes: Buffer): void {
        this.#pending.push(bytes);
    }

    /** Sends what was added. `isAnswer` marks the end of an answer to statements. */
    flush(isAnswer: boolean): void {
        if (this.#pending.length === 0 || this.#faults.holdAnswers) {
            return;
        }
        let bytes = Buffer.concat(this.#pending);
        this.#pending = [];
        const isCut = isAnswer && this.#faults.cutAnswers > 0;
        if (isCut) {
            this.#faults.cutAnswers--;
            bytes = bytes.subarray(0, Math.ceil(bytes.length / 2));
        }
        if (this.#faults.lateMs > 0 || this.#late > 0) {
            this.#sendLater(bytes, isCut);
        }
        else {
            this.#send(bytes, isCut);
        }
    }

    /** Waits for earlier answers too, so that answers keep their order when the delay changes. */
    #sendLater(bytes: Buffer, isCut: boolean): void {
        this.#late++;
        this.#last = Promise.all([this.#last, sleep(this.#faults.lateMs, undefined, { ref: false })]).then(() => {
            this.#late--;
            this.#send(bytes, isCut);
        });
    }

    #send(bytes: Buffer, isCut: boolean): void {
        if (!this.#socket.writable) {
            return;
        }
        this.#socket.write(bytes);
        if (isCut) {
            this.#socket.destroySoon();
        }
    }
}
