import { type CallerConnection, CallerListener, type EndpointConnector, messages } from "@medlarledge/postgres";
import type { Endpoint, Host } from "@medlarledge/protocol";
import { type DatabaseSource, Proxy, type ProxyEvents, type ProxyStatus, type RequestRecord } from "@medlarledge/proxy";
import { Classifier } from "@medlarledge/routing";
import { type Clock, parseAddress } from "@medlarledge/runtime";
import { TokenCodec } from "@medlarledge/session";
import type { Configuration, HostSettings } from "@medlarledge/settings";
import type { Log, Metrics, ServiceCount } from "@medlarledge/telemetry";
import { randomInt } from "node:crypto";
import { readFile } from "node:fs/promises";
import { mayLogIn, mayUse } from "./caller-access.js";
import { callerProcessId } from "./host-number.js";
import { proxyParts } from "./proxy-parts.js";

/** SQLSTATE of a user without the right to a database. */
const INSUFFICIENT_PRIVILEGE = "42501";
const DEFAULT_CALLERS = 4_000;
const DEFAULT_MESSAGE_BYTES = 64 * 1024 * 1024;

export interface ServingHostOptions {
    readonly self: Host;
    readonly settings: HostSettings;
    readonly configuration: () => Configuration | undefined;
    readonly source: DatabaseSource;
    readonly connector: EndpointConnector;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly observed: (endpoint: Endpoint, outcome: "ok" | "closed" | "timeout") => void;
    /** The pool alone cannot tell whether the endpoint is silent. */
    readonly stalled: (endpoint: Endpoint) => void;
    readonly slotsWanted: (endpoint: Endpoint, wanted: number, running: number) => void;
    readonly served: (database: string, count: Partial<ServiceCount>) => void;
    /** Passes a cancel request on that is not for a caller of this host. */
    readonly forwardCancel: (processId: number, secretKey: number) => void;
}

/** The part of a process that serves callers. */
export class ServingHost {
    readonly #options: ServingHostOptions;
    readonly #proxy: Proxy;
    readonly #listener: CallerListener;
    #callerCounter = 0;

    private constructor(options: ServingHostOptions, classifier: Classifier, tls: CallerTls | undefined) {
        this.#options = options;
        this.#proxy = new Proxy({
            source: options.source,
            connector: options.connector,
            classifier,
            tokens: new TokenCodec(options.settings.sessionKeys.map(key => Buffer.from(key, "hex"))),
            clock: options.clock.now,
            schedule: (delayMs, callback) => {
                const timer = setTimeout(callback, delayMs);
                return () => clearTimeout(timer);
            },
            events: this.#events(),
            dependencies: proxyParts(() => options.configuration()?.limits, randomInt(2 ** 31)),
        });
        this.#listener = new CallerListener({
            onCaller: caller => this.#accept(caller),
            cancel: (processId, secretKey) => this.#cancel(processId, secretKey),
            authenticate: (user, password) => mayLogIn(options.configuration(), user, password),
            ...(tls === undefined ? {} : { tls }),
            // Read at each connection, so that a changed limit holds from the next caller on.
            get maxCallers() {
                return options.configuration()?.limits.callersPerHost ?? DEFAULT_CALLERS;
            },
            get maxMessageBytes() {
                return options.configuration()?.limits.messageBytes ?? DEFAULT_MESSAGE_BYTES;
            },
            backendKey: () => this.#nextKey(),
            onProtocolFault: fault => options.log.event("callerRejected", { ...fault }),
        });
    }

    /** Loads the SQL grammar and the callers' certificate. */
    static async create(options: ServingHostOptions): Promise<ServingHost> {
        const classifier = await Classifier.load();
        const { callerTls } = options.settings;
        const tls = callerTls === undefined
            ? undefined
            : { certificate: await readFile(callerTls.certificate), key: await readFile(callerTls.key) };
        return new ServingHost(options, classifier, tls);
    }

    /** Starts accepting callers. Returns a reason when it cannot. */
    async listen(): Promise<string | undefined> {
        const { host, port } = parseAddress(this.#options.self.callerAddress);
        const error = await this.#listener.listen(host, port);
        return error?.message;
    }

    /** Opens the pools of the databases in force, so that their connections are warm before the first caller. */
    prepare(): void {
        const databases = this.#options.configuration()?.databases ?? {};
        Object.keys(databases).forEach(database => this.#proxy.prepare(database));
    }

    status(): ProxyStatus {
        return this.#proxy.status();
    }

    cancelLocal(processId: number, secretKey: number): boolean {
        return this.#proxy.cancel(processId, secretKey);
    }

    /** Stops accepting, finishes what runs, and returns the number of requests that had to be cut. */
    async drain(drainMs: number): Promise<number> {
        this.#listener.stopAccepting();
        const report = await this.#proxy.drain(this.#options.clock.now() + drainMs);
        return report.cut;
    }

    async close(): Promise<void> {
        this.#proxy.close();
        await this.#listener.close();
    }

    #accept(caller: CallerConnection): void {
        if (mayUse(this.#options.configuration(), caller.user, caller.database)) {
            this.#proxy.accept(caller);
            return;
        }
        const text = `user "${caller.user}" may not use database "${caller.database}"`;
        caller.send(messages.errorResponse(INSUFFICIENT_PRIVILEGE, text, "FATAL"));
        caller.close();
    }

    #cancel(processId: number, secretKey: number): void {
        if (!this.#proxy.cancel(processId, secretKey)) {
            this.#options.forwardCancel(processId, secretKey);
        }
    }

    #nextKey(): { processId: number; secretKey: number; } {
        this.#callerCounter += 1;
        return {
            processId: callerProcessId(this.#options.self.id, this.#callerCounter),
            secretKey: randomInt(2 ** 31),
        };
    }

    #events(): ProxyEvents {
        const { observed, stalled, slotsWanted, log } = this.#options;
        return {
            answered: endpoint => observed(endpoint, "ok"),
            closed: (endpoint, reason) => {
                log.event("endpointClosed", { database: endpoint.database, endpoint: endpoint.id, reason });
                observed(endpoint, "closed");
            },
            silent: (endpoint, forMs) => {
                log.event("endpointSilent", { database: endpoint.database, endpoint: endpoint.id, forMs });
                observed(endpoint, "timeout");
            },
            stalled: endpoint => stalled(endpoint),
            slotsWanted,
            served: record => this.#served(record),
        };
    }

    #served(record: RequestRecord): void {
        this.#options.served(record.database, serviceCount(record));
        const { metrics } = this.#options;
        const tags = { database: record.database, class: record.className };
        metrics.timing("request.latency", record.latencyMs, tags);
        if (record.outcome === "done") {
            metrics.count("request.done", 1, { ...tags, role: record.replica ? "replica" : "primary" });
        }
        else {
            const name = record.outcome === "notRun" ? "request.not_run" : "request.unknown";
            metrics.count(name, 1, { ...tags, cause: record.cause ?? "other" });
        }
        if (!record.deadlineMet) {
            metrics.count("request.late", 1, tags);
        }
        if (record.retries > 0) {
            metrics.count("request.retried", record.retries, { database: record.database });
        }
    }
}

interface CallerTls {
    readonly certificate: Buffer;
    readonly key: Buffer;
}

/** Turns what one request received into its contribution to the service level. */
export function serviceCount(record: RequestRecord): Partial<ServiceCount> {
    const done = record.outcome === "done";
    const byCause = { [record.cause ?? "other"]: 1 };
    return {
        requests: 1,
        worth: record.worth,
        worthInTime: done && record.deadlineMet ? record.worth : 0,
        reads: record.read ? 1 : 0,
        replicaReads: record.read && done && record.replica ? 1 : 0,
        freshReads: record.read && done ? 1 : 0,
        late: done && !record.deadlineMet ? 1 : 0,
        retries: record.retries,
        notRun: record.outcome === "notRun" ? byCause : {},
        unknown: record.outcome === "unknown" ? byCause : {},
    };
}
