import type { Endpoint } from "@medlarledge/protocol";
import { createHmac } from "node:crypto";

export interface AnnouncementSettings {
    /** Base addresses of entry hosts, such as `http://127.0.0.1:8080`; each attempt goes to the next. */
    readonly addresses: readonly string[];
    /** Key of the signature, in hexadecimal. */
    readonly key: string;
    readonly intervalMs?: number;
    /** Announced in place of the port that it listens on, when callers reach it through a relay. */
    readonly port?: number;
}

export const SIGNATURE_HEADER = "x-medlarledge-signature";
const DEFAULT_INTERVAL_MS = 1_000;
const REQUEST_TIMEOUT_MS = 1_000;

/** Signs a body as entry hosts check it. */
export function signBody(body: string, key: string): string {
    return createHmac("sha256", Buffer.from(key, "hex")).update(body).digest("hex");
}

/** Announces an endpoint at regular intervals, and once that it leaves. */
export class Announcer {
    readonly #settings: AnnouncementSettings;
    readonly #endpoint: Omit<Endpoint, "sequence">;
    #sequence: number;
    #next = 0;
    #timer: NodeJS.Timeout | undefined;
    /** The announcement under way; there is at most one. */
    #announcing: Promise<boolean> | undefined;

    /** The sequence starts at the wall clock, so that it rises across restarts. */
    constructor(settings: AnnouncementSettings, endpoint: Omit<Endpoint, "sequence">) {
        this.#settings = settings;
        this.#endpoint = { ...endpoint, port: settings.port ?? endpoint.port };
        this.#sequence = Date.now();
    }

    start(): void {
        this.#announce();
        this.#timer = setInterval(() => this.#announce(), this.#settings.intervalMs ?? DEFAULT_INTERVAL_MS);
    }

    stop(): void {
        clearInterval(this.#timer);
    }

    /**
     * Stops announcing and says that the endpoint leaves, once nothing can arrive behind it any more; true when an entry
     * host took it.
     */
    async leave(): Promise<boolean> {
        this.stop();
        await this.#announcing;
        const { database, id, systemIdentifier } = this.#endpoint;
        return this.#post("/v1/endpoints/leave", { database, id, systemIdentifier, sequence: ++this.#sequence });
    }

    #announce(): void {
        this.#announcing ??= this.#post("/v1/endpoints", { ...this.#endpoint, sequence: ++this.#sequence })
            .finally(() => this.#announcing = undefined);
    }

    /** Tries each address once, beginning with the one after the last used. */
    async #post(path: string, value: unknown): Promise<boolean> {
        const body = JSON.stringify(value);
        const headers = {
            "content-type": "application/json",
            [SIGNATURE_HEADER]: signBody(body, this.#settings.key),
        };
        const { addresses } = this.#settings;
        for (let attempt = 0; attempt < addresses.length; attempt++) {
            const address = addresses[this.#next++ % addresses.length] ?? "";
            try {
                const signal = AbortSignal.timeout(REQUEST_TIMEOUT_MS);
                const response = await fetch(`${address}${path}`, { method: "POST", headers, body, signal });
                await response.arrayBuffer();
                if (response.ok) {
                    return true;
                }
            }
            catch {
                // An entry host that does not answer is left out until its next turn.
            }
        }
        return false;
    }
}
