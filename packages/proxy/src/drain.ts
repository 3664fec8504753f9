import type { CallerSession } from "./caller-session.js";
import type { Schedule } from "./ports.js";
import { ErrorCode } from "./request-failure.js";

export interface DrainReport {
    /** Callers that were closed at a request boundary. */
    readonly closed: number;
    /** Callers that were closed within a request or transaction at the deadline. */
    readonly cut: number;
    readonly durationMs: number;
}

const SHUTDOWN_MESSAGE = "terminating connection: the entry host is shutting down";

/** Closes each caller as soon as it is at a request boundary, and the rest at the deadline. */
export class Drain {
    readonly #sessions: ReadonlySet<CallerSession>;
    readonly #clock: () => number;
    readonly #startedAt: number;
    readonly #resolve: (report: DrainReport) => void;
    readonly #cancelDeadline: () => void;
    #closed = 0;
    #cut = 0;
    #isDone = false;

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
            this.#closeRemaining();
        });
        for (const session of [...sessions]) {
            if (session.isAtRequestBoundary) {
                this.idle(session);
            }
        }
        this.check();
    }

    /** Closes a caller that reached a request boundary. */
    idle(session: CallerSession): void {
        if (this.#sessions.has(session)) {
            this.#closed += 1;
            session.terminate(ErrorCode.AdminShutdown, SHUTDOWN_MESSAGE);
        }
    }

    /** Completes the drain if no caller is left. */
    check(): void {
        if (!this.#isDone && this.#sessions.size === 0) {
            this.#isDone = true;
            this.#cancelDeadline();
            this.#resolve({ closed: this.#closed, cut: this.#cut, durationMs: this.#clock() - this.#startedAt });
        }
    }

    #closeRemaining(): void {
        for (const session of [...this.#sessions]) {
            this.#cut += 1;
            session.terminate(ErrorCode.AdminShutdown, SHUTDOWN_MESSAGE);
        }
        this.check();
    }
}
