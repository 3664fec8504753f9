import { readFile } from "node:fs/promises";
import type { StandInOptions, StandInStatus, TableRow } from "../stand-in/stand-in-endpoint.js";
import { Child } from "./child.js";

const CALL_TIMEOUT_MS = 2_000;

/** End of the log that a failed start reports. */
const LOG_CHARACTERS = 2_000;

/** A stand-in endpoint that runs as a process of its own. */
export class LocalEndpoint {
    readonly id: string;
    readonly database: string;
    readonly #child: Child;
    readonly #logFile: string;
    #status: StandInStatus | undefined;

    constructor(program: string, options: StandInOptions, logFile: string) {
        this.id = options.id ?? "";
        this.database = options.database ?? "";
        this.#logFile = logFile;
        this.#child = new Child(process.execPath, [program, JSON.stringify(options)], logFile);
    }

    /** Waits until the endpoint listens. */
    async ready(): Promise<void> {
        const line = await this.#child.firstLine();
        if (line === "") {
            const log = await readFile(this.#logFile, "utf8").catch(() => "");
            throw new Error(`endpoint ${this.id} did not start: ${log.slice(-LOG_CHARACTERS)}`);
        }
        this.#status = JSON.parse(line) as StandInStatus;
    }

    get port(): number {
        return this.#status?.port ?? 0;
    }

    get replicationPort(): number {
        return this.#status?.replicationPort ?? 0;
    }

    get running(): boolean {
        return this.#child.running;
    }

    status(): Promise<StandInStatus> {
        return this.#call("GET", "/status") as Promise<StandInStatus>;
    }

    rows(table: string): Promise<readonly TableRow[]> {
        return this.#call("GET", `/tables/${table}`) as Promise<readonly TableRow[]>;
    }

    /** Sets a fault or another property; the names are those of the stand-in's control interface. */
    order(name: string, body: Readonly<Record<string, unknown>> = {}): Promise<unknown> {
        return this.#call("POST", `/${name}`, body);
    }

    follow(primary: LocalEndpoint): Promise<unknown> {
        return this.order("follow", { host: "127.0.0.1", port: primary.replicationPort });
    }

    kill(): Promise<number> {
        return this.#child.kill();
    }

    pause(): void {
        this.#child.pause();
    }

    resume(): void {
        this.#child.resume();
    }

    async #call(method: "GET" | "POST", path: string, body?: unknown): Promise<unknown> {
        const response = await fetch(`http://127.0.0.1:${this.#status?.controlPort ?? 0}${path}`, {
            method,
            ...(body === undefined ? {} : { body: JSON.stringify(body) }),
            signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        });
        return response.json();
    }
}
