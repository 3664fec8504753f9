import {
    type CommandAnswer,
    type Completion,
    type ConnectionHandler,
    type ConnectResult,
    type EndpointAddress,
    type EndpointCommand,
    type EndpointConnection,
    type EndpointConnector,
    ErrorCode,
    type LogPosition,
    type TransactionState,
} from "@medlarledge/statements";

/** A statement that an endpoint ran, with its transaction state and session values. */
export interface RanStatement {
    readonly endpoint: string;
    readonly requestId: string;
    readonly text: string;
    readonly after: LogPosition | undefined;
    readonly inTransaction: boolean;
    readonly values: Readonly<Record<string, string>>;
}

/** A simulated endpoint, whose behaviour tests can change at any time. */
export class FakeEndpoint {
    leads = false;
    /** Refuses connections. */
    refuses = false;
    /** Accepts commands and connection attempts but answers none. */
    isSilent = false;
    /** Suspended; once resumed, it processes the commands that were sent meanwhile. */
    isFrozen = false;
    /** Number of statements to refuse as busy. */
    busy = 0;
    /** Number of statements to answer with a failure. */
    failing = 0;
    /** Number of session values and prepared statements to refuse. */
    refusedSetUps = 0;
    /** Number of begins to answer with a failure. */
    failingBegins = 0;
    /** Number of begins to carry out without answering; what follows is answered. */
    losesBegins = 0;
    /** Number of statements to run without answering. */
    losesAnswers = 0;
    /** Number of rollbacks to leave unanswered. */
    losesRollbacks = 0;
    serviceMs = 5;
    connectMs = 12;
    limit = 100;
    applied: LogPosition = { term: 1, number: 0 };
    readonly connections = new Set<FakeConnection>();

    constructor(readonly id: string) {}

    /** Closes all connections, as a crash does. */
    crash(): void {
        this.refuses = true;
        for (const connection of [...this.connections]) {
            connection.drop("crashed");
        }
    }
}

/** A simulated group of endpoints that replicate one log. */
export class FakeEndpoints implements EndpointConnector {
    readonly ran: RanStatement[] = [];
    readonly endpoints = new Map<string, FakeEndpoint>();
    connects = 0;
    #number = 0;
    #term = 1;

    constructor(ids: readonly string[]) {
        for (const id of ids) {
            this.endpoints.set(id, new FakeEndpoint(id));
        }
        this.get(ids[0] ?? "").leads = true;
    }

    get(id: string): FakeEndpoint {
        const endpoint = this.endpoints.get(id);
        if (endpoint === undefined) {
            throw new Error(`no endpoint ${id}`);
        }
        return endpoint;
    }

    /** Makes an endpoint the primary of the next term; the former primary becomes a replica. */
    promote(id: string): void {
        this.#term += 1;
        for (const endpoint of this.endpoints.values()) {
            endpoint.leads = endpoint.id === id;
        }
        this.get(id).applied = { term: this.#term, number: this.#number };
    }

    /** Lets all replicas catch up with the primary. */
    replicate(): void {
        for (const endpoint of this.endpoints.values()) {
            endpoint.applied = { term: this.#term, number: this.#number };
        }
    }

    /** Commits on the primary as if through another entry host. */
    commitElsewhere(): LogPosition {
        return this.commit([...this.endpoints.values()].find(endpoint => endpoint.leads)?.id ?? "");
    }

    commit(id: string): LogPosition {
        this.#number += 1;
        const position = { term: this.#term, number: this.#number };
        this.get(id).applied = position;
        return position;
    }

    connect(address: EndpointAddress, _: string | undefined, timeoutMs: number): Promise<ConnectResult> {
        this.connects += 1;
        const endpoint = this.get(address.id);
        return new Promise(resolve => {
            if (endpoint.isSilent || endpoint.isFrozen) {
                setTimeout(() => resolve({ ok: false, failure: { kind: "timeout" } }), Math.min(300, timeoutMs));
                return;
            }
            setTimeout(() => resolve(this.#accept(endpoint)), endpoint.refuses ? 1 : endpoint.connectMs);
        });
    }

    #accept(endpoint: FakeEndpoint): ConnectResult {
        if (endpoint.refuses) {
            return { ok: false, failure: { kind: "refused", reason: "connection refused" } };
        }
        if (endpoint.connections.size >= endpoint.limit) {
            return { ok: false, failure: { kind: "tooMany" } };
        }
        const connection = new FakeConnection(endpoint, this);
        endpoint.connections.add(connection);
        return { ok: true, connection, position: endpoint.applied };
    }
}

class FakeConnection implements EndpointConnection {
    readonly #endpoint: FakeEndpoint;
    readonly #group: FakeEndpoints;
    readonly #values = new Map<string, string>();
    readonly #prepared = new Map<string, string>();
    #handler: ConnectionHandler | undefined;
    #state: TransactionState = "idle";
    #isPlain = false;
    #wrote = false;
    #last: Promise<void> = Promise.resolve();

    constructor(endpoint: FakeEndpoint, group: FakeEndpoints) {
        this.#endpoint = endpoint;
        this.#group = group;
    }

    setHandler(handler: ConnectionHandler): void {
        this.#handler = handler;
    }

    send(commands: readonly EndpointCommand[]): void {
        for (const command of commands) {
            this.#last = this.#last.then(() => this.#handle(command));
        }
    }

    close(): void {
        this.#handler = undefined;
        this.#endpoint.connections.delete(this);
    }

    drop(reason: string): void {
        const handler = this.#handler;
        this.close();
        handler?.closed(reason);
    }

    async #handle(command: EndpointCommand): Promise<void> {
        const isStatement = command.kind === "statement";
        await new Promise(resolve => setTimeout(resolve, isStatement ? this.#endpoint.serviceMs : 1));
        while (this.#endpoint.isFrozen) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        if (this.#endpoint.isSilent || this.#handler === undefined) {
            return;
        }
        const answer = this.#answer(command);
        if (isStatement && this.#endpoint.losesAnswers > 0) {
            this.#endpoint.losesAnswers -= 1;
            return;
        }
        if (command.kind === "begin" && this.#endpoint.losesBegins > 0) {
            this.#endpoint.losesBegins -= 1;
            return;
        }
        if (command.kind === "rollback" && this.#endpoint.losesRollbacks > 0) {
            this.#endpoint.losesRollbacks -= 1;
            return;
        }
        this.#handler.answered(answer);
    }

    #answer(command: EndpointCommand): CommandAnswer {
        const completion = this.#complete(command);
        if (completion.kind === "error" && this.#state === "open") {
            this.#state = "failed";
        }
        const rows = completion.kind === "done" && command.kind === "statement" ? ["row"] : [];
        return { rows, completion, state: this.#state, position: this.#endpoint.applied, status: undefined };
    }

    #complete(command: EndpointCommand): Completion {
        switch (command.kind) {
            case "begin":
                return this.#begin(command);
            case "rollback":
                this.#state = "idle";
                return done;
            case "reset":
                this.#values.clear();
                this.#prepared.clear();
                return done;
            case "set":
            case "prepare":
                return this.#setUp(command);
            case "status":
                return done;
            case "statement":
                return this.#run(command);
        }
    }

    #setUp(command: Extract<EndpointCommand, { kind: "set" | "prepare"; }>): Completion {
        if (this.#endpoint.refusedSetUps > 0) {
            this.#endpoint.refusedSetUps -= 1;
            return error(ErrorCode.Failed);
        }
        if (this.#state === "open" && this.#isPlain && !this.#endpoint.leads) {
            return error(ErrorCode.ReadOnly);
        }
        if (command.kind === "set") {
            this.#values.set(command.name, command.value);
        }
        else {
            this.#prepared.set(command.name, `${command.writes ? "WRITE" : "READ"} ${command.shape}`);
        }
        return done;
    }

    #begin({ readOnly, after }: Extract<EndpointCommand, { kind: "begin"; }>): Completion {
        if (this.#endpoint.failingBegins > 0) {
            this.#endpoint.failingBegins -= 1;
            return error(ErrorCode.Failed);
        }
        if (!readOnly && !this.#endpoint.leads) {
            return error(ErrorCode.ReadOnly);
        }
        if (this.#lacks(after)) {
            return error(ErrorCode.Lagging);
        }
        this.#state = "open";
        this.#isPlain = !readOnly;
        this.#wrote = false;
        return done;
    }

    #run({ requestId, statement, after }: Extract<EndpointCommand, { kind: "statement"; }>): Completion {
        const inTransaction = this.#state !== "idle";
        if (this.#state === "failed") {
            return error(ErrorCode.Malformed);
        }
        if (this.#endpoint.busy > 0) {
            this.#endpoint.busy -= 1;
            return error(ErrorCode.Busy);
        }
        if (this.#endpoint.failing > 0) {
            this.#endpoint.failing -= 1;
            return error(ErrorCode.Failed);
        }
        const writes = statement.kind === "write" || (statement.kind === "execute" && statement.writes);
        const lostLead = !this.#endpoint.leads && (inTransaction ? this.#isPlain : writes);
        if (lostLead && !(statement.kind === "commit" && !this.#wrote)) {
            return error(ErrorCode.ReadOnly);
        }
        if (this.#lacks(after)) {
            return error(ErrorCode.Lagging);
        }
        if (statement.kind === "execute" && !this.#prepared.has(statement.name)) {
            return error(ErrorCode.UnknownStatement);
        }
        this.#group.ran.push({
            endpoint: this.#endpoint.id,
            requestId,
            text: this.#textOf(statement),
            after,
            inTransaction,
            values: Object.fromEntries(this.#values),
        });
        this.#effect(statement.kind, writes, inTransaction);
        return { kind: "done", signature: `signed by ${this.#endpoint.id}` };
    }

    #effect(kind: string, writes: boolean, inTransaction: boolean): void {
        if (kind === "commit") {
            this.#state = "idle";
            if (this.#wrote) {
                this.#group.commit(this.#endpoint.id);
            }
        }
        else if (writes && inTransaction) {
            this.#wrote = true;
        }
        else if (writes) {
            this.#group.commit(this.#endpoint.id);
        }
    }

    #textOf(statement: Extract<EndpointCommand, { kind: "statement"; }>["statement"]): string {
        if (statement.kind === "commit") {
            return "COMMIT";
        }
        return statement.kind === "execute"
            ? `${this.#prepared.get(statement.name) ?? ""} ${statement.parameters}`
            : statement.text;
    }

    #lacks(after: LogPosition | undefined): boolean {
        const { term, number } = this.#endpoint.applied;
        return after !== undefined && (after.term > term || (after.term === term && after.number > number));
    }
}

const done: Completion = { kind: "done", signature: undefined };

function error(code: ErrorCode): Completion {
    return { kind: "error", code, text: "" };
}
