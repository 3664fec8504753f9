import { StatsD } from "hot-shots";
import type { Meter, MetricName, Tags } from "./metric.js";

/** Sends metrics over StatsD; without an address it does nothing. */
export class Metrics implements Meter {
    readonly #client: StatsD | undefined;

    constructor(
        options: { readonly host: string; readonly dataCentre: string; readonly address: string | undefined; },
    ) {
        if (options.address === undefined) {
            return;
        }
        const separator = options.address.lastIndexOf(":");
        this.#client = new StatsD({
            host: options.address.slice(0, separator),
            port: Number(options.address.slice(separator + 1)),
            prefix: "medlarledge.",
            globalTags: { host: options.host, data_centre: options.dataCentre },
            maxBufferSize: 1_400, // one datagram stays below a common path MTU
            bufferFlushInterval: 1_000,
            errorHandler: () => undefined, // an absent collector must not disturb serving
        });
    }

    count(name: MetricName, value: number, tags: Tags = {}): void {
        this.#client?.increment(name, value, { ...tags });
    }

    gauge(name: MetricName, value: number, tags: Tags = {}): void {
        this.#client?.gauge(name, value, { ...tags });
    }

    timing(name: MetricName, milliseconds: number, tags: Tags = {}): void {
        this.#client?.timing(name, milliseconds, { ...tags });
    }

    /** A collector keeps the last value of a gauge by itself. */
    clear(): void {}

    /** Sends what is buffered and closes the socket. */
    close(): Promise<void> {
        const client = this.#client;
        return client === undefined ? Promise.resolve() : new Promise(resolve => client.close(() => resolve()));
    }
}
