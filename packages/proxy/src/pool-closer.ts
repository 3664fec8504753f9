import type { PoolConnection } from "./pool-connection.js";
import type { EndpointConnector, Schedule } from "./ports.js";

/** A cancelled connection counts against the limit until the cancel request completed, at most this long. */
const CANCEL_TIMEOUT_MS = 2_000;

/** Cancels statements on connections being closed, and counts these connections until the cancel request completed. */
export class PoolCloser {
    readonly #connector: EndpointConnector;
    readonly #schedule: Schedule;
    readonly #onFinished: () => void;
    #closing = 0;

    constructor(connector: EndpointConnector, schedule: Schedule, onFinished: () => void) {
        this.#connector = connector;
        this.#schedule = schedule;
        this.#onFinished = onFinished;
    }

    /** Number of closed connections that still count against the limit. */
    get closing(): number {
        return this.#closing;
    }

    /** Sends a cancel request for the connection and counts it until the request completed or timed out. */
    cancel(connection: PoolConnection): void {
        this.#closing += 1;
        let isFinished = false;
        const finish = (): void => {
            if (!isFinished) {
                isFinished = true;
                stop();
                this.#closing -= 1;
                this.#onFinished();
            }
        };
        const stop = this.#schedule(CANCEL_TIMEOUT_MS, finish);
        const { endpoint, processId, secretKey } = connection.wire;
        this.#connector.cancel(endpoint, processId, secretKey).then(finish, finish);
    }
}
