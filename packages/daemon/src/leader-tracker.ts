/** Unanswered renewals after which the next control host is tried. */
const UNANSWERED_BEFORE_NEXT = 2;

/** Keeps track of which control host is believed to lead. */
export class LeaderTracker {
    readonly #listed: readonly string[];
    #target: number;
    #unanswered = 0;

    constructor(listed: readonly string[], start: number) {
        this.#listed = listed;
        this.#target = start % listed.length;
    }

    /** The control host to send to. */
    target(): string {
        return this.#listed[this.#target] ?? "";
    }

    /** A message that will be answered by the leader was sent. */
    sent(): void {
        this.#unanswered += 1;
        if (this.#unanswered > UNANSWERED_BEFORE_NEXT) {
            this.#next();
        }
    }

    /** The host answered as the leader. */
    confirmed(host: string): void {
        this.#unanswered = 0;
        this.#point(host);
    }

    /** The host said that it does not lead, and perhaps who does. */
    refused(host: string, leader: string | undefined): void {
        if (host !== this.target()) {
            return;
        }
        if (leader !== undefined && leader !== host && this.#listed.includes(leader)) {
            this.#unanswered = 0;
            this.#point(leader);
        }
        else if (leader !== host) {
            this.#next();
        }
        else {
            this.#unanswered = 0;
        }
    }

    #point(host: string): void {
        const index = this.#listed.indexOf(host);
        if (index !== -1) {
            this.#target = index;
        }
    }

    #next(): void {
        this.#unanswered = 0;
        this.#target = (this.#target + 1) % this.#listed.length;
    }
}
