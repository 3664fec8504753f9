import {
    type CommandAnswer,
    type EndpointCommand,
    type EndpointConnection,
    type ForwardedStatement,
    type OrderedStatement,
    type StatementOrder,
    type TransactionState,
    TransactionStates,
} from "@medlarledge/statements";

/** Statements that one connection keeps prepared; beyond, it is reset. Bounds the memory at the endpoint. */
const MAX_PREPARED = 200;

export type Reply =
    | { readonly kind: "answer"; readonly answer: CommandAnswer; }
    | { readonly kind: "lost"; readonly reason: string; };

/** An order made ready for one connection: the commands that go before it, and its statement in the connection's terms. */
export interface Prepared {
    readonly before: readonly EndpointCommand[];
    readonly statement: ForwardedStatement;
}

export interface ConnectionEvents {
    /** All commands are answered. */
    idle(connection: PooledConnection): void;
    answered(connection: PooledConnection): void;
    closed(connection: PooledConnection, reason: string): void;
}

/** One connection to an endpoint, with what it has been told so far. */
export class PooledConnection {
    readonly #wire: EndpointConnection;
    readonly #events: ConnectionEvents;
    readonly #waiting: ((reply: Reply) => void)[] = [];
    readonly #values = new Map<string, string>();
    /** Names by what they stand for. */
    readonly #prepared = new Map<string, string>();
    #lastName = 0;
    #state: TransactionState = TransactionStates.Idle;
    #closed = false;

    constructor(wire: EndpointConnection, events: ConnectionEvents) {
        this.#wire = wire;
        this.#events = events;
        wire.setHandler({
            answered: answer => this.#answered(answer),
            closed: reason => this.#lost(reason),
        });
    }

    get isClosed(): boolean {
        return this.#closed;
    }

    /** Commands without an answer yet. */
    get unanswered(): number {
        return this.#waiting.length;
    }

    /** Nothing is outstanding and no transaction is open. */
    get isClean(): boolean {
        return !this.#closed && this.#waiting.length === 0 && this.#state === TransactionStates.Idle;
    }

    /** True when the connection has exactly these session values. */
    hasValues(values: StatementOrder["values"]): boolean {
        return values.length === this.#values.size && values.every(([name, value]) => this.#values.get(name) === value);
    }

    /** Resolves what the order needs on this connection. The commands must be sent before anything else. */
    prepare(order: StatementOrder): Prepared {
        const before: EndpointCommand[] = [];
        if (this.#mustReset(order)) {
            before.push({ kind: "reset" });
            this.#values.clear();
            this.#prepared.clear();
        }
        for (const [name, value] of order.values) {
            if (this.#values.get(name) !== value) {
                this.#values.set(name, value);
                before.push({ kind: "set", name, value });
            }
        }
        return { before, statement: this.#resolve(order.statement, before) };
    }

    /** Sends commands in one packet and returns the reply to one of them. */
    ask(commands: readonly EndpointCommand[], which: number): Promise<Reply> {
        return new Promise(resolve => {
            if (this.#closed) {
                resolve({ kind: "lost", reason: "closed before" });
                return;
            }
            for (const index of commands.keys()) {
                this.#waiting.push(index === which ? resolve : ignoreReply);
            }
            this.#wire.send(commands);
        });
    }

    /** Closes; outstanding replies are lost. */
    close(reason: string): void {
        if (!this.#closed) {
            this.#wire.close();
            this.#lost(reason);
        }
    }

    #mustReset({ values }: StatementOrder): boolean {
        if (this.#prepared.size >= MAX_PREPARED) {
            return true;
        }
        if (this.#values.size === 0) {
            return false;
        }
        const wanted = new Set(values.map(([name]) => name));
        return [...this.#values.keys()].some(name => !wanted.has(name));
    }

    #resolve(statement: OrderedStatement, before: EndpointCommand[]): ForwardedStatement {
        if (statement.kind !== "execute") {
            return statement;
        }
        const { writes, shape, parameters } = statement;
        const key = `${writes ? "W" : "R"} ${shape}`;
        let name = this.#prepared.get(key);
        if (name === undefined) {
            this.#lastName += 1;
            name = `p${this.#lastName}`;
            this.#prepared.set(key, name);
            before.push({ kind: "prepare", name, writes, shape });
        }
        return { kind: "execute", name, parameters, writes };
    }

    #answered(answer: CommandAnswer): void {
        const resolve = this.#waiting.shift();
        if (resolve === undefined) {
            this.close("an answer to nothing");
            return;
        }
        this.#state = answer.state;
        this.#events.answered(this);
        resolve({ kind: "answer", answer });
        if (this.#waiting.length === 0) {
            this.#events.idle(this);
        }
    }

    #lost(reason: string): void {
        if (this.#closed) {
            return;
        }
        this.#closed = true;
        this.#events.closed(this, reason);
        for (const resolve of this.#waiting.splice(0)) {
            resolve({ kind: "lost", reason });
        }
    }
}

function ignoreReply(): void {
    // The reply to a command of the proxy's own whose failure shows in the reply behind it.
}
