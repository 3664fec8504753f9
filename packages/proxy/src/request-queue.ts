import type { Request } from "./request-assembler.js";

const MAX_QUEUED_BYTES = 1 << 20;
const MAX_QUEUED_REQUESTS = 128;

/** Requests of one caller that wait for the running one to end. */
export class RequestQueue {
    readonly #requests: Request[] = [];
    #bytes = 0;

    get isEmpty(): boolean {
        return this.#requests.length === 0;
    }

    /** Reading from the caller must pause. */
    get isFull(): boolean {
        return this.#bytes > MAX_QUEUED_BYTES || this.#requests.length > MAX_QUEUED_REQUESTS;
    }

    push(request: Request): void {
        this.#requests.push(request);
        this.#bytes += request.bytes;
    }

    shift(): Request | undefined {
        const request = this.#requests.shift();
        this.#bytes = this.isEmpty ? 0 : this.#bytes - (request?.bytes ?? 0);
        return request;
    }

    clear(): void {
        this.#requests.length = 0;
        this.#bytes = 0;
    }
}
