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

/** Prepared statements per connection before it is reset. Bounds the memory that they take at the endpoint. */
const MAX_PREPARED = 200;

export type Reply =
    | { readonly kind: "answer"; readonly answer: CommandAnswer; }
    | { readonly kind: "lost"; readonly reason: string; };

const ALREADY_CLOSED: Reply = { kind: "lost", reason: "the connection was already closed" };

/**
 * An order prepared for one connection: commands to send first, and the statement with the names used on the
 * connection.
 */
export interface PreparedOrder {
    readonly before: readonly EndpointCommand[];
    readonly statement: ForwardedStatement;
}

export interface ConnectionEvents {
    /** No answers are outstanding any more. */
    idle(connection: PooledConnection): void;
    answered(connection: PooledConnection): void;
    closed(connection: PooledConnection, reason: string): void;
}

/**
 * One connection to an endpoint, with the session values, prepared statements and transaction state that it has there.
 */
export class PooledConnection {
    /** The customer in whose name the connection was opened, and whose orders alone it runs; undefined for the proxy. */
    readonly owner: StatementOrder["customer"];
    readonly #connection: EndpointConnection;
    readonly #events: ConnectionEvents;
    readonly #replyHandlers: ((reply: Reply) => void)[] = [];
    readonly #sessionValues = new Map<string, string>();
    /** Names of the prepared statements, by kind and text of the statement. */
    readonly #preparedNames = new Map<string, string>();
    #lastNameNumber = 0;
    #transactionState: TransactionState = TransactionStates.Idle;
    /** Whether the endpoint may have other session values and prepared statements than recorded here. */
    #isUncertain = false;
    #isClosed = false;

    constructor(
        endpointConnection: EndpointConnection,
        owner: StatementOrder["customer"],
        events: ConnectionEvents,
    ) {
        this.owner = owner;
        this.#connection = endpointConnection;
        this.#events = events;
        endpointConnection.setHandler({
            answered: answer => this.#answerReceived(answer),
            closed: reason => this.#connectionClosed(reason),
        });
    }

    get isClosed(): boolean {
        return this.#isClosed;
    }

    /** Number of commands that are not answered yet. */
    get unanswered(): number {
        return this.#replyHandlers.length;
    }

    /**
     * True while the connection is open, no answers are outstanding, no transaction is open, and the endpoint has
     * confirmed the session values and prepared statements that are recorded here.
     */
    get isClean(): boolean {
        return !this.#isClosed && this.#replyHandlers.length === 0 && !this.#isUncertain
            && this.#transactionState === TransactionStates.Idle;
    }

    /** Returns true when the connection has exactly these session values. */
    hasValues(values: StatementOrder["values"]): boolean {
        return values.length === this.#sessionValues.size
            && values.every(([name, value]) => this.#sessionValues.get(name) === value);
    }

    /**
     * Returns the order's statement as it must be sent on this connection, and the commands that set up the connection
     * for it. The record of the connection is what it will be once the endpoint has carried them out: the caller must
     * send them before anything else with `setUp` or `sendBehind`.
     */
    prepare(order: StatementOrder): PreparedOrder {
        const before: EndpointCommand[] = [];
        if (this.#needsReset(order)) {
            before.push({ kind: "reset" });
            this.#sessionValues.clear();
            this.#preparedNames.clear();
        }
        for (const [name, value] of order.values) {
            if (this.#sessionValues.get(name) !== value) {
                this.#sessionValues.set(name, value);
                before.push({ kind: "set", name, value });
            }
        }
        return { before, statement: this.#resolveStatement(order.statement, before) };
    }

    /**
     * Sends commands that set up the connection and a begin behind them, in one packet. Resolves once all are answered:
     * to the first reply that is no success, or to undefined. If the endpoint did not carry out a set-up command, the
     * connection is not reused.
     */
    async setUp(commands: readonly EndpointCommand[], begin: EndpointCommand): Promise<Reply | undefined> {
        const { failure, reply } = await this.sendBehind(commands, begin);
        if (reply.kind === "answer" && !isFailure(reply) && reply.answer.state !== TransactionStates.Open) {
            // Nothing but a begin opens a transaction, so this answers another command.
            this.close("an answer was lost");
            return { kind: "lost", reason: "the answer to a begin was lost" };
        }
        return failure ?? (isFailure(reply) ? reply : undefined);
    }

    /**
     * Sends set-up commands and a command behind them, in one packet. Resolves to the reply to the command, and to the
     * first set-up command that failed, after which the connection is not reused.
     */
    async sendBehind(
        commands: readonly EndpointCommand[],
        command: EndpointCommand,
    ): Promise<{ readonly failure: Reply | undefined; readonly reply: Reply; }> {
        const replies = await Promise.all(this.#send([...commands, command]));
        const failure = replies.slice(0, commands.length).find(isFailure);
        if (failure !== undefined) {
            this.markUncertain();
        }
        return { failure, reply: replies.at(-1) ?? ALREADY_CLOSED };
    }

    /** Records that the endpoint may have other session values or prepared statements than this connection's record. */
    markUncertain(): void {
        this.#isUncertain = true;
    }

    /** Sends commands in one packet and returns the reply to the one at `replyIndex`. */
    sendCommands(commands: readonly EndpointCommand[], replyIndex: number): Promise<Reply> {
        return this.#send(commands)[replyIndex] ?? Promise.resolve(ALREADY_CLOSED);
    }

    #send(commands: readonly EndpointCommand[]): readonly Promise<Reply>[] {
        if (this.#isClosed) {
            return commands.map(() => Promise.resolve(ALREADY_CLOSED));
        }
        const replies = commands.map(() => new Promise<Reply>(resolve => this.#replyHandlers.push(resolve)));
        this.#connection.send(commands);
        return replies;
    }

    /** Closes the connection. Outstanding replies resolve as lost. */
    close(reason: string): void {
        if (!this.#isClosed) {
            this.#connection.close();
            this.#connectionClosed(reason);
        }
    }

    #needsReset({ values }: StatementOrder): boolean {
        if (this.#preparedNames.size >= MAX_PREPARED) {
            return true;
        }
        if (this.#sessionValues.size === 0) {
            return false;
        }
        const wanted = new Set(values.map(([name]) => name));
        return [...this.#sessionValues.keys()].some(name => !wanted.has(name));
    }

    #resolveStatement(statement: OrderedStatement, before: EndpointCommand[]): ForwardedStatement {
        if (statement.kind !== "execute") {
            return statement;
        }
        const { writes, shape, parameters } = statement;
        const key = `${writes ? "W" : "R"} ${shape}`;
        let name = this.#preparedNames.get(key);
        if (name === undefined) {
            this.#lastNameNumber += 1;
            name = `p${this.#lastNameNumber}`;
            this.#preparedNames.set(key, name);
            before.push({ kind: "prepare", name, writes, shape });
        }
        return { kind: "execute", name, parameters, writes };
    }

    #answerReceived(answer: CommandAnswer): void {
        const resolve = this.#replyHandlers.shift();
        if (resolve === undefined) {
            this.close("an answer arrived without a command");
            return;
        }
        this.#transactionState = answer.state;
        this.#events.answered(this);
        resolve({ kind: "answer", answer });
        if (this.#replyHandlers.length === 0) {
            this.#events.idle(this);
        }
    }

    #connectionClosed(reason: string): void {
        if (this.#isClosed) {
            return;
        }
        this.#isClosed = true;
        this.#events.closed(this, reason);
        for (const resolve of this.#replyHandlers.splice(0)) {
            resolve({ kind: "lost", reason });
        }
    }
}

function isFailure(reply: Reply): boolean {
    return reply.kind === "lost" || reply.answer.completion.kind === "error";
}
