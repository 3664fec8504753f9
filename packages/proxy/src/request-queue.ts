import type { Request } from "./request-assembly.js";

const MAX_BYTES = 1 << 20;
const MAX_REQUESTS = 128;

/** Requests of one caller that wait for their turn. */
export class RequestQueue {
    readonly #requests: Request[] = [];
    #bytes = 0;

    get empty(): boolean {
        return this.#requests.length === 0;
    }

    /** No more should be read from the caller. */
    get full(): boolean {
        return this.#bytes > MAX_BYTES || this.#requests.length > MAX_REQUESTS;
    }

    push(request: Request): void {
        this.#requests.push(request);
        this.#bytes += request.bytes;
    }

    shift(): Request | undefined {
        const request = this.#requests.shift();
        this.#bytes = this.empty ? 0 : this.#bytes - (request?.bytes ?? 0);
        return request;
    }

    clear(): void {
        this.#requests.length = 0;
        this.#bytes = 0;
    }
}
