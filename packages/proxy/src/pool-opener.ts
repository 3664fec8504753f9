import type { Endpoint } from "@medlarledge/protocol";
import type { EndpointConnection, EndpointConnector, Schedule } from "./ports.js";

const CONNECT_TIMEOUT_MS = 2_000;
const INITIAL_RETRY_DELAY_MS = 20;
const MAX_RETRY_DELAY_MS = 1_000;

export interface PoolOpenerOptions {
    readonly endpoint: Endpoint;
    readonly connector: EndpointConnector;
    readonly schedule: Schedule;
    readonly opened: (wire: EndpointConnection) => void;
    readonly failed: (reason: string) => void;
    /** Called when the delay after a failure is over. */
    readonly retry: () => void;
}

/** Opens connections in the background, with exponential backoff after failures. */
export class PoolOpener {
    readonly #options: PoolOpenerOptions;
    #opening = 0;
    #failures = 0;
    #cancelRetry: (() => void) | undefined;
    #isStopped = false;

    constructor(options: PoolOpenerOptions) {
        this.#options = options;
    }

    /** Number of connections being opened. */
    get opening(): number {
        return this.#opening;
    }

    /** The backoff delay after a failed attempt is running. */
    get pausing(): boolean {
        return this.#cancelRetry !== undefined;
    }

    open(): void {
        this.#opening += 1;
        this.#options.connector.connect(this.#options.endpoint, CONNECT_TIMEOUT_MS).then(
            result => {
                if (result.ok) {
                    this.#opened(result.connection);
                }
                else {
                    this.#failed(result.error.kind);
                }
            },
            (error: unknown) => {
                this.#failed(String(error));
            },
        );
    }

    stop(): void {
        this.#isStopped = true;
        this.#cancelRetry?.();
    }

    #opened(wire: EndpointConnection): void {
        this.#opening -= 1;
        this.#failures = 0;
        if (this.#isStopped) {
            wire.close();
            return;
        }
        this.#options.opened(wire);
    }

    #failed(reason: string): void {
        this.#opening -= 1;
        if (this.#isStopped) {
            return;
        }
        const delay = Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** Math.min(this.#failures, 10));
        this.#failures += 1;
        this.#cancelRetry ??= this.#options.schedule(delay, () => {
            this.#cancelRetry = undefined;
            this.#options.retry();
        });
        this.#options.failed(reason);
    }
}
