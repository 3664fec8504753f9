import { setTimeout as sleep } from "node:timers/promises";
import { evaluate, executeOnTable, type Parameters, type Result, sleepOf, takesSlot } from "./executor.js";
import type { ServerState } from "./server-state.js";
import type { Statement } from "./statements.js";
import { type SqlError, sqlError, Transaction } from "./transaction.js";

export type Outcome = Result | SqlError;

const CANCELLED = sqlError("57014", "canceling statement due to user request");

/** Runs one session's statements, and keeps its transaction and settings. */
export class StatementRunner {
    readonly #host: ServerState;
    readonly #settings: Map<string, string>;
    readonly #defaults: ReadonlyMap<string, string>;
    #transaction: Transaction | undefined;
    #running: AbortController | undefined;

    constructor(host: ServerState, settings: ReadonlyMap<string, string>) {
        this.#host = host;
        this.#defaults = settings;
        this.#settings = new Map(settings);
    }

    get status(): "I" | "T" | "E" {
        if (this.#transaction?.explicit !== true) {
            return "I";
        }
        return this.#transaction.failed ? "E" : "T";
    }

    /** Fails the transaction after an error outside of a statement's run. */
    fail(): void {
        if (this.#transaction !== undefined) {
            this.#transaction.failed = true;
        }
    }

    cancel(): void {
        this.#running?.abort();
    }

    run(statement: Statement, parameters: Parameters): Outcome | Promise<Outcome> {
        const isEnd = statement.kind === "commit" || statement.kind === "rollback";
        if (this.#transaction?.failed === true && !isEnd) {
            return sqlError("25P02", "current transaction is aborted, commands ignored until end of transaction block");
        }
        if (!takesSlot(statement)) {
            return this.#finish(statement, parameters);
        }
        const pauseMs = sleepOf(statement, parameters) + this.#host.statementMs;
        if (pauseMs > 0 || !this.#host.gate.tryAcquire()) {
            return this.#runSlowly(statement, parameters, pauseMs);
        }
        const outcome = this.#finish(statement, parameters);
        this.#host.gate.release();
        return outcome;
    }

    /** The end of a simple query or a Sync: commits what is not within BEGIN. */
    endImplicit(): SqlError | undefined {
        const transaction = this.#transaction;
        if (transaction === undefined || transaction.explicit) {
            return undefined;
        }
        this.#transaction = undefined;
        return transaction.failed ? undefined : this.#host.commit(transaction);
    }

    async #runSlowly(statement: Statement, parameters: Parameters, pauseMs: number): Promise<Outcome> {
        const running = new AbortController();
        this.#running = running;
        const { gate } = this.#host;
        if (!await gate.acquire(running.signal)) {
            return this.#failed(CANCELLED);
        }
        try {
            await sleep(pauseMs, undefined, { signal: running.signal });
            return this.#finish(statement, parameters);
        }
        catch {
            // Only the signal ends the sleep with an exception.
            return this.#failed(CANCELLED);
        }
        finally {
            gate.release();
            this.#running = undefined;
        }
    }

    #finish(statement: Statement, parameters: Parameters): Outcome {
        const outcome = this.#execute(statement, parameters);
        return outcome.kind === "sqlError" ? this.#failed(outcome) : outcome;
    }

    #failed(error: SqlError): SqlError {
        this.fail();
        return error;
    }

    #execute(statement: Statement, parameters: Parameters): Outcome {
        switch (statement.kind) {
            case "empty":
                return { kind: "result", tag: "" };
            case "begin":
                return this.#begin(statement.readOnly);
            case "commit":
                return this.#commit();
            case "rollback":
                this.#transaction = undefined;
                return { kind: "result", tag: "ROLLBACK" };
            case "evaluate":
                return evaluate(statement, parameters, this.#host);
            case "set":
                this.#settings.set(statement.name, statement.value);
                return { kind: "result", tag: "SET" };
            case "show":
                return this.#show(statement.name);
            case "alterSystem":
                if (this.#transaction?.explicit === true) {
                    return sqlError("25001", "ALTER SYSTEM cannot run inside a transaction block");
                }
                if (statement.value?.includes("\n") === true) {
                    return sqlError("22023", "parameter value for ALTER SYSTEM must not contain a newline");
                }
                this.#host.setPending(statement.name, statement.value);
                return { kind: "result", tag: "ALTER SYSTEM" };
            case "discardAll":
                this.#settings.clear();
                this.#defaults.forEach((value, name) => this.#settings.set(name, value));
                return { kind: "result", tag: "DISCARD ALL" };
            case "deallocate":
                return { kind: "result", tag: "DEALLOCATE" };
            default:
                this.#transaction ??= new Transaction(this.#host.store, false, this.#host.isReadOnly);
                return executeOnTable(statement, parameters, this.#transaction, this.#host);
        }
    }

    #begin(readOnly: boolean): Outcome {
        if (this.#transaction?.explicit !== true) {
            const error = this.endImplicit();
            if (error !== undefined) {
                return error;
            }
            this.#transaction = new Transaction(this.#host.store, true, readOnly || this.#host.isReadOnly);
        }
        return { kind: "result", tag: "BEGIN" };
    }

    #commit(): Outcome {
        const transaction = this.#transaction;
        this.#transaction = undefined;
        if (transaction?.failed === true) {
            return { kind: "result", tag: "ROLLBACK" };
        }
        const error = transaction && this.#host.commit(transaction);
        return error ?? { kind: "result", tag: "COMMIT" };
    }

    #show(name: string): Outcome {
        const value = this.#host.show(name) ?? this.#settings.get(name);
        return value === undefined
            ? sqlError("42704", `unrecognized configuration parameter "${name}"`)
            : { kind: "result", tag: "SHOW", columns: [{ name, typeId: 25 }], rows: [[value]] };
    }
}
