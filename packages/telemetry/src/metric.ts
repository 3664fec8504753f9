export const MetricType = { Counter: "counter", Gauge: "gauge", Timing: "timing" } as const;
export type MetricType = (typeof MetricType)[keyof typeof MetricType];

export interface MetricDefinition {
    readonly type: MetricType;
    readonly unit: string;
    readonly tags: readonly string[];
    readonly meaning: string;
}

/** Every metric, by its name without the common prefix `medlarledge.`. */
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
    "statement.served": counter("statements", ["group", "statement", "role"], "Statements answered with success."),
    "statement.refused": counter(
        "statements",
        ["group", "statement", "cause"],
        "Statements refused without being run.",
    ),
    "statement.unknown": counter("statements", ["group", "statement", "cause"], "Statements whose outcome is unknown."),
    "statement.failed": counter("statements", ["group", "statement", "cause"], "Statements answered with an error."),
    "limit.granted": counter("operations", [], "Operations of limited customers that the leader allowed to hosts."),
    "limit.refused": counter("operations", ["cause"], "Operations refused because of their customer's limit."),
    "limit.waits": counter("operations", [], "Operations that waited for the leader's answer."),
    "statement.retried": counter(
        "attempts",
        ["group", "cause"],
        "Repeated attempts of statements that may be repeated.",
    ),
    "statement.latency": timing(["group", "statement"], "From the arrival of a statement to its answer."),
    "wait.endpoint": timing(["group"], "Wait of a statement until an endpoint could be chosen."),
    "pool.connections": gauge(
        "connections",
        ["group", "endpoint", "state"],
        "Connections to an endpoint by their use.",
    ),
    "pool.openings": counter(
        "connections",
        ["group", "endpoint", "owner", "cause"],
        "Attempts to open a connection, by its owner (customer or proxy) and cause (warmUp, growth, replacement).",
    ),
    "pool.waiting": gauge("statements", ["group", "endpoint"], "Statements that wait for a connection."),
    "endpoint.reachable": gauge("0 or 1", ["group", "endpoint"], "1 while an endpoint answers this host."),
    "key.accepted": gauge("0 or 1", [], "1 while this host may accept the keys of its configuration."),
    "key.refused": counter(
        "requests",
        ["database", "refusal"],
        "Callers and requests that were refused because of their key.",
    ),
    "key.revoked": counter("sessions", ["how"], "Sessions that were ended because their key was revoked."),
    "endpoint.expected_time": gauge("ms", ["group", "endpoint"], "Expected duration of a statement on an endpoint."),
    "endpoint.failure_share": gauge("share", ["group", "endpoint"], "Share of recent orders that an endpoint failed."),
    "endpoint.report_age": gauge("ms", ["group", "endpoint"], "Age of the newest load report of another host."),
    "endpoint.chosen": counter("statements", ["group", "endpoint", "reason"], "Reads by the reason of their endpoint."),
    "promotion.steps": counter("steps", ["group", "step"], "Steps of replacements of primaries."),
    "promotion.time": timing(["group"], "From the decision to replace a primary to its end."),
    "loop.delay": timing([], "Lateness of a timer that runs every 50 ms: how long work has to wait for the processor."),
    "log.dropped": gauge("lines", [], "Log lines left out since the start because their budget was spent."),
    "log.lost": gauge("lines", [], "Log lines lost since the start because nobody read them."),
} as const satisfies Record<string, MetricDefinition>;
export type MetricName = keyof typeof METRICS;

export type Tags = Readonly<Record<string, string>>;

/** Takes measurements. */
export interface Meter {
    /** Adds to a counter. */
    count(name: MetricName, value: number, tags?: Tags): void;
    /** Sets a gauge. */
    gauge(name: MetricName, value: number, tags?: Tags): void;
    /** Records a duration in milliseconds. */
    timing(name: MetricName, milliseconds: number, tags?: Tags): void;
    /** Forgets a gauge's values, for things that may be gone. */
    clear(name: MetricName): void;
}

/** A meter that keeps nothing. */
export const SILENT_METER: Meter = {
    count: () => undefined,
    gauge: () => undefined,
    timing: () => undefined,
    clear: () => undefined,
};

function counter(unit: string, tags: readonly string[], meaning: string): MetricDefinition {
    return { type: MetricType.Counter, unit, tags, meaning };
}

function gauge(unit: string, tags: readonly string[], meaning: string): MetricDefinition {
    return { type: MetricType.Gauge, unit, tags, meaning };
}

function timing(tags: readonly string[], meaning: string): MetricDefinition {
    return { type: MetricType.Timing, unit: "ms", tags, meaning };
}
