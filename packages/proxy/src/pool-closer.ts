import type { PoolConnection } from "./pool-connection.js";
import type { EndpointConnector, Schedule } from "./ports.js";

/** A cancelled connection counts against the limit until the endpoint answered the cancel request, at most this long. */
const CANCEL_MS = 2_000;

/** Cancels statements on connections that are being closed, and counts these until the endpoint is done with them. */
export class PoolCloser {
    readonly #connector: EndpointConnector;
    readonly #schedule: Schedule;
    readonly #settled: () => void;
    #closing = 0;

    constructor(connector: EndpointConnector, schedule: Schedule, settled: () => void) {
        this.#connector = connector;
        this.#schedule = schedule;
        this.#settled = settled;
    }

    /** Connections that still count although they are closed. */
    get closing(): number {
        return this.#closing;
    }

    cancel(connection: PoolConnection): void {
        this.#closing += 1;
        let settled = false;
        const settle = (): void => {
            if (!settled) {
                settled = true;
                stop();
                this.#closing -= 1;
                this.#settled();
            }
        };
        const stop = this.#schedule(CANCEL_MS, settle);
        const { endpoint, processId, secretKey } = connection.wire;
        this.#connector.cancel(endpoint, processId, secretKey).then(settle, settle);
    }
}
