import type { CallerSession } from "./caller-session.js";
import type { Schedule } from "./ports.js";
import { ErrorCode } from "./request-failure.js";

export interface DrainReport {
    /** Callers that were closed at a request boundary. */
    readonly closed: number;
    /** Callers whose request or transaction was cut at the deadline. */
    readonly cut: number;
    readonly durationMs: number;
}

const TEXT = "terminating connection: the entry host is shutting down";

/** Closes each caller as soon as it is at a request boundary, and the rest at the deadline. */
export class Drain {
    readonly #sessions: ReadonlySet<CallerSession>;
    readonly #clock: () => number;
    readonly #startedAt: number;
    readonly #resolve: (report: DrainReport) => void;
    readonly #cancelDeadline: () => void;
    #closed = 0;
    #cut = 0;
    #done = false;

    constructor(
        sessions: ReadonlySet<CallerSession>,
        deadlineMs: number,
        clock: () => number,
        schedule: Schedule,
        resolve: (report: DrainReport) => void,
    ) {
        this.#sessions = sessions;
        this.#clock = clock;
        this.#startedAt = clock();
        this.#resolve = resolve;
        this.#cancelDeadline = schedule(deadlineMs, () => {
            this.#expire();
        });
        for (const session of [...sessions]) {
            if (session.isAtRequestBoundary) {
                this.idle(session);
            }
        }
        this.check();
    }

    /** A caller reached a request boundary. */
    idle(session: CallerSession): void {
        if (this.#sessions.has(session)) {
            this.#closed += 1;
            session.terminate(ErrorCode.AdminShutdown, TEXT);
        }
    }

    /** A caller is gone. */
    check(): void {
        if (!this.#done && this.#sessions.size === 0) {
            this.#done = true;
            this.#cancelDeadline();
            this.#resolve({ closed: this.#closed, cut: this.#cut, durationMs: this.#clock() - this.#startedAt });
        }
    }

    #expire(): void {
        for (const session of [...this.#sessions]) {
            this.#cut += 1;
            session.terminate(ErrorCode.AdminShutdown, TEXT);
        }
        this.check();
    }
}
