import { Failure, type GatewayEvent, type GatewayListener } from "@medlarledge/gateway";
import { LineBudget, type Log, type LogEvent, type Meter, type MetricName } from "@medlarledge/telemetry";

/** Log lines per group and second about requests that were served in time at the first attempt. */
const ROUTINE_LINES_PER_SECOND = 1;

/** Log lines per database and second about refused keys; callers with a wrong key may retry in a loop. */
const REFUSAL_LINES_PER_SECOND = 1;

/** Log lines per second about callers of unknown databases; any caller can make up names. */
const UNKNOWN_DATABASE_LINES_PER_SECOND = 5;

type EventOf<K extends GatewayEvent["kind"]> = Extract<GatewayEvent, { kind: K; }>;
type Handlers = { readonly [K in GatewayEvent["kind"]]: (event: EventOf<K>) => void; };

const FAILURE_LINES: Readonly<Record<Failure, { readonly event: LogEvent; readonly metric: MetricName; }>> = {
    [Failure.Refused]: { event: "requestRefused", metric: "statement.refused" },
    [Failure.Unknown]: { event: "requestUnknown", metric: "statement.unknown" },
    [Failure.Failed]: { event: "requestFailed", metric: "statement.failed" },
};

/** Writes the events of a gateway to the log and updates the metrics. */
export class GatewayReporter {
    readonly #log: Log;
    readonly #meter: Meter;
    readonly #now: () => number;
    readonly #routine = new LineBudget(ROUTINE_LINES_PER_SECOND);
    readonly #refusals = new LineBudget(REFUSAL_LINES_PER_SECOND);
    readonly #unknownDatabases = new LineBudget(UNKNOWN_DATABASE_LINES_PER_SECOND);

    readonly #handlers: Handlers = {
        served: event => this.#served(event),
        notServed: event => this.#notServed(event),
        chosen: ({ group, endpoint, reason }) => this.#meter.count("endpoint.chosen", 1, { group, endpoint, reason }),
        failing: event => this.#write(event.isFailing ? "endpointFailing" : "endpointRecovered", event),
        retried: event => this.#retried(event),
        aborted: event => this.#write("transactionAborted", event),
        keyRefused: event => this.#keyRefused(event),
        unknownDatabase: event => this.#unknownDatabase(event),
        keysRevoked: event => this.#keysRevoked(event),
        cut: event => this.#write("sessionCut", event),
        reach: event => this.#write(event.reach === "reachable" ? "endpointReached" : "endpointUnreachable", event),
        opening: ({ group, endpoint, owner, cause }) =>
            this.#meter.count("pool.openings", 1, { group, endpoint, owner, cause }),
        primary: event => this.#write("primarySeen", event),
        denied: event => this.#write("primaryDenied", event),
    };

    constructor(log: Log, meter: Meter, now: () => number) {
        this.#log = log;
        this.#meter = meter;
        this.#now = now;
    }

    readonly listener: GatewayListener = event => (this.#handlers[event.kind] as (event: GatewayEvent) => void)(event);

    #served({ request, onPrimary, targetMs }: EventOf<"served">): void {
        const { group, statement, latencyMs, waitedMs } = request;
        const role = onPrimary ? "primary" : "replica";
        this.#meter.count("statement.served", 1, { group, statement, role });
        this.#meter.timing("statement.latency", latencyMs, { group, statement });
        if (waitedMs > 0) {
            this.#meter.timing("wait.endpoint", waitedMs, { group });
        }
        const cause = noteworthyCause(request, targetMs);
        if (cause !== undefined || this.#routine.take(group, this.#now())) {
            this.#log.event("requestServed", { ...request, role, cause: cause ?? "routine" });
        }
    }

    #notServed({ failure, request, code, cause, condition }: EventOf<"notServed">): void {
        const { group, statement } = request;
        const { event, metric } = FAILURE_LINES[failure];
        // The label is the code, since a cause may contain a request id and would create a label value per request.
        this.#meter.count(metric, 1, { group, statement, cause: code });
        this.#log.event(event, { ...request, code, cause, ...condition });
    }

    #keyRefused({ database, refusal }: EventOf<"keyRefused">): void {
        this.#meter.count("key.refused", 1, { database, refusal });
        if (this.#refusals.take(`${database} ${refusal}`, this.#now())) {
            this.#log.event("keyRefused", { database, refusal });
        }
    }

    #unknownDatabase(event: EventOf<"unknownDatabase">): void {
        if (this.#unknownDatabases.take(event.kind, this.#now())) {
            this.#write("databaseUnknown", event);
        }
    }

    #keysRevoked(event: EventOf<"keysRevoked">): void {
        this.#meter.count("key.revoked", event.closed, { how: "closed" });
        this.#meter.count("key.revoked", event.rolledBack, { how: "rolledBack" });
        this.#write("keysRevoked", event);
    }

    #retried(event: EventOf<"retried">): void {
        this.#meter.count("statement.retried", 1, { group: event.group, cause: event.cause });
        this.#write("requestRetried", event);
    }

    /** Writes an event without its kind, which the name of the line states. */
    #write(name: LogEvent, event: GatewayEvent): void {
        this.#log.event(name, { ...event, kind: undefined });
    }
}

/** Returns why a served request is always logged; undefined for a routine one, which is sampled. */
function noteworthyCause(
    { latencyMs, attempts }: EventOf<"served">["request"],
    targetMs: number | undefined,
): string | undefined {
    if (targetMs !== undefined && latencyMs > targetMs) {
        return "late";
    }
    return attempts > 1 ? "repeated" : undefined;
}
