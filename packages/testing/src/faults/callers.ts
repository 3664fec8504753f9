import { messages } from "@medlarledge/postgres";
import type { CallerConnection, CallerHandler, Frame } from "@medlarledge/proxy";
import type { RequestOutcome } from "./history.js";
import { framesOf, textOf } from "./simulated-session.js";
import { DATABASE, type World } from "./world.js";

/** Time that a caller waits for an answer before it drops its connection. */
const PATIENCE_MS = 4_000;

/** One answer as the caller received it. */
export interface Answer {
    readonly outcome: RequestOutcome;
    readonly code: string;
    readonly rows: readonly string[];
    readonly complete: boolean;
    readonly tag: string;
    readonly term: number | undefined;
}

/** A caller's connection to an entry host, with one request open at a time. */
export class SimulatedCaller implements CallerConnection {
    readonly user = "user";
    readonly database = DATABASE;
    readonly applicationName = "workload";
    readonly secretKey = 1;
    readonly options: ReadonlyMap<string, string>;
    token: string;
    open = true;
    #handler: CallerHandler | undefined;
    #arrived = false;
    #received: Frame[] = [];
    #resolve: ((answer: Answer) => void) | undefined;

    constructor(readonly world: World, readonly hostId: string, readonly processId: number, token: string) {
        this.token = token;
        this.options = new Map(token === "" ? [] : [["medlarledge.session", token]]);
    }

    setHandler(handler: CallerHandler): void {
        this.#handler = handler;
    }

    /** Sends one statement and waits for its whole answer. */
    query(sql: string): Promise<Answer> {
        if (!this.open || this.#handler === undefined) {
            return Promise.resolve(lost("notSent"));
        }
        const host = this.world.host(this.hostId);
        const handler = this.#handler;
        this.#received = [];
        this.#arrived = false;
        this.world.time.at(0.5, () => host?.enter(() => this.#pass(handler, sql)));
        const cancel = this.world.time.at(PATIENCE_MS, () => this.cut());
        return new Promise<Answer>(resolve => {
            this.#resolve = answer => {
                cancel();
                this.#resolve = undefined;
                resolve(answer);
            };
        });
    }

    #pass(handler: CallerHandler, sql: string): void {
        if (this.open) {
            this.#arrived = true;
            handler.frames(framesOf(messages.query(sql)));
        }
    }

    send(bytes: Uint8Array): boolean {
        for (const frame of framesOf(bytes)) {
            const text = textOf(frame);
            if (frame.type === 0x53 && text === "medlarledge.session") {
                this.token = textOf(frame, 5 + text.length + 1);
            }
            this.#received.push(frame);
            if (frame.type === 0x5a && this.#resolve !== undefined) {
                this.#answered(this.#resolve);
            }
        }
        return true;
    }

    pause(): void {}

    resume(): void {}

    /** The proxy closes the connection. */
    close(): void {
        this.open = false;
        if (this.#resolve !== undefined && this.#arrived) {
            const session = String(this.processId);
            this.world.record({ kind: "requestCut", at: this.world.time.now, host: this.hostId, session });
        }
        this.#resolve?.(lost(this.#arrived ? "closed" : "notSent"));
    }

    /** The caller leaves, or its host died. */
    cut(): void {
        const handler = this.#handler;
        this.open = false;
        this.world.host(this.hostId)?.enter(() => handler?.closed());
        this.#resolve?.(lost("closed"));
    }

    #answered(resolve: (answer: Answer) => void): void {
        const frames = this.#received;
        this.#received = [];
        const rows = frames.filter(frame => frame.type === 0x44).map(valueOf);
        const error = frames.find(frame => frame.type === 0x45);
        const code = error === undefined ? "" : codeOf(error);
        const tag = frames.filter(frame => frame.type === 0x43).map(frame => textOf(frame)).at(-1) ?? "";
        const count = Number(/\d+$/.exec(tag)?.[0] ?? rows.length);
        const complete = count === rows.length;
        resolve({ outcome: outcomeOf(code), code, rows, complete, tag, term: termOf(this.token) });
    }
}

/** Codes of the proxy, and of endpoints that refuse to write, which say that the statement did not run. */
const NOT_RUN: ReadonlySet<string> = new Set(["ML001", "ML003", "ML004", "ML005", "25006", "25P02"]);

/** The transaction was rolled back as a whole; its statements may have run. */
const ROLLED_BACK = "40001";

function outcomeOf(code: string): RequestOutcome {
    if (code === "" || code === ROLLED_BACK) {
        return code === "" ? "done" : "rolledBack";
    }
    return NOT_RUN.has(code) ? "notRun" : "unknown";
}

function lost(code: string): Answer {
    const outcome = code === "notSent" ? "notRun" : "unknown";
    return { outcome, code, rows: [], complete: false, tag: "", term: undefined };
}

/** Reads the term from a session token; callers of the product do not look into it. */
function termOf(token: string): number | undefined {
    const text = token.split(".")[2];
    return text === undefined ? undefined : parseInt(text, 36);
}

function valueOf(frame: Frame): string {
    return Buffer.from(frame.bytes).toString("utf8", 11);
}

function codeOf(frame: Frame): string {
    return /C([0-9A-Z]{5})\0/.exec(Buffer.from(frame.bytes).toString("latin1"))?.[1] ?? "XX000";
}
