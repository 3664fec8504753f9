import { CallerSession } from "./caller-session.js";
import { DatabaseContext } from "./database-context.js";
import type { Environment } from "./database-context.js";
import { Drain } from "./drain.js";
import type { DrainReport } from "./drain.js";
import { errorResponse } from "./messages.js";
import type { CallerConnection, Classifier, DatabaseSource, EndpointConnector } from "./ports.js";
import type { ProxyDependencies, ProxyEvents, Schedule, TokenCodec } from "./ports.js";
import { PreparedStatementRegistry } from "./prepared-statements.js";
import { ErrorCode } from "./request-failure.js";

export interface ProxyOptions {
    readonly source: DatabaseSource;
    readonly connector: EndpointConnector;
    readonly classifier: Classifier;
    readonly tokens: TokenCodec;
    /** Milliseconds of a monotonic clock. */
    readonly clock: () => number;
    readonly schedule: Schedule;
    readonly events: ProxyEvents;
    readonly dependencies: ProxyDependencies;
}

export interface EndpointStatus {
    readonly endpoint: string;
    readonly connections: number;
    readonly idle: number;
    readonly inFlight: number;
}

export interface DatabaseStatus {
    readonly database: string;
    readonly endpoints: readonly EndpointStatus[];
    /** Responses to writes that wait for a valid lease. */
    readonly heldAnswers: number;
    /** Writes that wait for a replica. */
    readonly waitingForReplica: number;
    /** Requests that wait for an endpoint or a connection. */
    readonly waiting: number;
}

export interface ProxyStatus {
    readonly callers: number;
    readonly draining: boolean;
    readonly databases: readonly DatabaseStatus[];
}

/** Serves all callers of one process over pools of endpoint connections. */
export class Proxy {
    readonly #options: ProxyOptions;
    readonly #environment: Environment;
    readonly #registry: PreparedStatementRegistry;
    readonly #databases = new Map<string, DatabaseContext>();
    readonly #sessions = new Set<CallerSession>();
    readonly #sessionsByProcessId = new Map<number, CallerSession>();
    #drain: Drain | undefined;
    #isClosed = false;

    constructor(options: ProxyOptions) {
        this.#options = options;
        this.#environment = options;
        this.#registry = new PreparedStatementRegistry(options.classifier);
        options.source.onChange(() => {
            for (const database of this.#databases.values()) {
                database.changed();
            }
        });
    }

    /** Starts the session of an authenticated caller, or refuses it with an error. */
    accept(caller: CallerConnection): void {
        if (this.#drain !== undefined || this.#isClosed) {
            refuse(caller, ErrorCode.AdminShutdown, "the entry host is shutting down");
            return;
        }
        const database = this.#databaseFor(caller.database);
        if (database === undefined) {
            refuse(caller, "3D000", `database "${caller.database}" does not exist`);
            return;
        }
        const session = new CallerSession({
            caller,
            database,
            classifier: this.#options.classifier,
            tokens: this.#options.tokens,
            registry: this.#registry,
            session: this.#options.dependencies.session(),
            ended: ended => {
                this.#sessions.delete(ended);
                this.#sessionsByProcessId.delete(caller.processId);
                this.#drain?.check();
            },
            idle: idle => this.#drain?.idle(idle),
        });
        this.#sessions.add(session);
        this.#sessionsByProcessId.set(caller.processId, session);
        session.begin();
    }

    /** Opens the pools of a database before its first caller. */
    prepare(database: string): void {
        this.#databaseFor(database);
    }

    /** Cancels the running statement of the caller with this key. Returns false when there is none. */
    cancel(processId: number, secretKey: number): boolean {
        const session = this.#sessionsByProcessId.get(processId);
        return session?.caller.secretKey === secretKey && session.cancel();
    }

    /** Closes each caller after its current request or transaction, and the remaining callers at the deadline. */
    drain(deadlineMs: number): Promise<DrainReport> {
        return new Promise(resolve => {
            const { clock, schedule } = this.#options;
            this.#drain = new Drain(this.#sessions, deadlineMs, clock, schedule, resolve);
            this.#drain.check();
        });
    }

    status(): ProxyStatus {
        return {
            callers: this.#sessions.size,
            draining: this.#drain !== undefined,
            databases: [...this.#databases.values()].map(database => ({
                database: database.name,
                endpoints: [...database.pools()].map(pool => ({
                    endpoint: pool.endpoint.id,
                    connections: pool.size(),
                    idle: pool.idle(),
                    inFlight: pool.inFlight(),
                })),
                heldAnswers: database.acknowledgementGate.held(),
                waitingForReplica: database.replicas.waiting(),
                waiting: database.waiting.size,
            })),
        };
    }

    close(): void {
        this.#isClosed = true;
        for (const session of [...this.#sessions]) {
            session.terminate(ErrorCode.AdminShutdown, "the entry host is shutting down");
        }
        for (const database of this.#databases.values()) {
            database.close();
        }
    }

    #databaseFor(name: string): DatabaseContext | undefined {
        const known = this.#databases.get(name);
        if (known !== undefined) {
            return known;
        }
        if (this.#options.source.settings(name) === undefined) {
            return undefined;
        }
        const database = new DatabaseContext(name, this.#environment);
        this.#databases.set(name, database);
        return database;
    }
}

function refuse(caller: CallerConnection, code: string, text: string): void {
    caller.send(errorResponse(code, text, "FATAL"));
    caller.close();
}
