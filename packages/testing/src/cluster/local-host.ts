import type { ChangeResult, ConfigurationChange } from "@medlarledge/protocol";
import type { HostSettings } from "@medlarledge/settings";
import { writeFile } from "node:fs/promises";
import { Child } from "./child.js";

const CALL_TIMEOUT_MS = 6_000;

/** What `GET /v1/status` says, as far as experiments use it. */
export interface HostReport {
    readonly host: {
        readonly readiness: { readonly ready: boolean; readonly reason: string; };
        readonly hasLease: boolean;
        readonly configuration: { readonly number: number; readonly since: number; } | undefined;
        readonly memoryBytes: number;
        readonly cpuMicroseconds: { readonly user: number; readonly system: number; };
        readonly traffic: {
            readonly bytesSent: number;
            readonly bytesReceived: number;
            readonly messagesSent: number;
            readonly messagesReceived: number;
        };
    };
    readonly cluster: {
        readonly leader: string;
        readonly databases: readonly {
            readonly database: string;
            readonly primary: string | undefined;
            readonly term: number | undefined;
        }[];
        readonly configuration: { readonly acceptedAt: number; } | undefined;
    };
}

/** One host of medlarledge that runs as a process of its own. */
export class LocalHost {
    readonly settings:
        & Partial<HostSettings>
        & Pick<HostSettings, "id" | "callerAddress" | "httpAddress" | "dataCentre">;
    readonly #program: string;
    readonly #file: string;
    readonly #logFile: string;
    #child: Child | undefined;

    constructor(program: string, settings: LocalHost["settings"], folder: string) {
        this.settings = settings;
        this.#program = program;
        this.#file = `${folder}/${settings.id}.jsonc`;
        this.#logFile = `${folder}/${settings.id}.log`;
    }

    get id(): string {
        return this.settings.id;
    }

    get running(): boolean {
        return this.#child?.running ?? false;
    }

    get pid(): number | undefined {
        return this.#child?.pid;
    }

    /** Connection URL for callers of a database. */
    url(database: string, user = "quickstart"): string {
        return `postgresql://${user}@${this.settings.callerAddress}/${database}`;
    }

    async start(): Promise<void> {
        await writeFile(this.#file, JSON.stringify(this.settings, undefined, 4));
        this.#child = new Child(process.execPath, [this.#program, "serve", this.#file], this.#logFile);
    }

    /** True once the host says that it is ready for callers. */
    async ready(): Promise<boolean> {
        try {
            const response = await fetch(`http://${this.settings.httpAddress}/readyz`, {
                signal: AbortSignal.timeout(500),
            });
            return response.ok;
        }
        catch {
            return false;
        }
    }

    async report(): Promise<HostReport> {
        const response = await fetch(`http://${this.settings.httpAddress}/v1/status`, {
            signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        });
        return await response.json() as HostReport;
    }

    async apply(change: ConfigurationChange): Promise<ChangeResult> {
        const response = await fetch(`http://${this.settings.httpAddress}/v1/configuration`, {
            method: "POST",
            body: JSON.stringify(change),
            signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        });
        return await response.json() as ChangeResult;
    }

    kill(): Promise<number> {
        return this.#child?.kill() ?? Promise.resolve(0);
    }

    stop(): Promise<number> {
        return this.#child?.stop() ?? Promise.resolve(0);
    }

    pause(): void {
        this.#child?.pause();
    }

    resume(): void {
        this.#child?.resume();
    }
}
