import { StatsD } from "hot-shots";

export const MetricType = { Counter: "counter", Gauge: "gauge", Timing: "timing" } as const;
export type MetricType = (typeof MetricType)[keyof typeof MetricType];

interface MetricDefinition {
    readonly type: MetricType;
    readonly unit: string;
    readonly tags: readonly string[];
    readonly meaning: string;
}

/** Every metric that a host sends, by its StatsD name without the common prefix `medlarledge.`. */
export const METRICS = {
    "request.done": counter("requests", ["database", "class", "role"], "Requests answered in full."),
    "request.not_run": counter("requests", ["database", "class", "cause"], "Requests refused without being run."),
    "request.unknown": counter("requests", ["database", "class", "cause"], "Requests whose outcome is unknown."),
    "request.late": counter("requests", ["database", "class"], "Requests answered after their deadline."),
    "request.retried": counter("attempts", ["database"], "Repeated attempts of repeatable requests."),
    "request.latency": timing(["database", "class"], "From the last byte of a request to its answer."),
    "callers.open": gauge("connections", [], "Open callers' connections."),
    "endpoint.connections": gauge("connections", ["database", "endpoint"], "Open connections to an endpoint."),
    "endpoint.in_flight": gauge("statements", ["database", "endpoint"], "Statements running on an endpoint."),
    "lease.valid": gauge("0 or 1", [], "1 while this host may acknowledge writes."),
    "configuration.number": gauge("number", [], "Configuration number in force on this host."),
    "agreement.leader": gauge("0 or 1", [], "1 on the control host that leads."),
    "peer.bytes_sent": counter("bytes", [], "Bytes sent to other processes."),
    "peer.bytes_received": counter("bytes", [], "Bytes received from other processes."),
    "process.memory": gauge("bytes", [], "Resident memory of the process."),
} as const satisfies Record<string, MetricDefinition>;
export type MetricName = keyof typeof METRICS;

export type Tags = Readonly<Record<string, string>>;

/** Sends metrics over StatsD; without an address it does nothing. */
export class Metrics {
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

    /** Adds to a counter. */
    count(name: MetricName, value: number, tags: Tags = {}): void {
        this.#client?.increment(name, value, { ...tags });
    }

    /** Sets a gauge. */
    gauge(name: MetricName, value: number, tags: Tags = {}): void {
        this.#client?.gauge(name, value, { ...tags });
    }

    /** Records a duration in milliseconds. */
    timing(name: MetricName, milliseconds: number, tags: Tags = {}): void {
        this.#client?.timing(name, milliseconds, { ...tags });
    }

    /** Sends what is buffered and closes the socket. */
    close(): Promise<void> {
        const client = this.#client;
        return client === undefined ? Promise.resolve() : new Promise(resolve => client.close(() => resolve()));
    }
}

function counter(unit: string, tags: readonly string[], meaning: string): MetricDefinition {
    return { type: MetricType.Counter, unit, tags, meaning };
}

function gauge(unit: string, tags: readonly string[], meaning: string): MetricDefinition {
    return { type: MetricType.Gauge, unit, tags, meaning };
}

function timing(tags: readonly string[], meaning: string): MetricDefinition {
    return { type: MetricType.Timing, unit: "ms", tags, meaning };
}
