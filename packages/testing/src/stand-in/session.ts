import { BackendType, type Frame, FrameReader, FrontendType, HEADER_BYTES, messages } from "@medlarledge/postgres";
import type { Socket } from "node:net";
import { AnswerQueue, type Faults } from "./answer-queue.js";
import { readBind } from "./bind.js";
import { columnsOf, type Parameters, type Result } from "./executor.js";
import type { ServerState } from "./server-state.js";
import { StatementRunner } from "./statement-runner.js";
import { parseStatements, type Statement } from "./statements.js";
import { type SqlError, sqlError } from "./transaction.js";

const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
const TEXT = 25;

interface Prepared {
    readonly statement: Statement;
    readonly parameterTypes: readonly number[];
}

interface Portal {
    readonly statement: Statement;
    readonly parameters: Parameters;
    result: Result | undefined;
    sent: number;
}

/** One authenticated connection: the message loop of both protocols. Statements run strictly one after the other. */
export class Session {
    readonly #faults: Faults;
    readonly #runner: StatementRunner;
    readonly #answers: AnswerQueue;
    readonly #reader = new FrameReader(MAX_MESSAGE_BYTES);
    readonly #socket: Socket;
    readonly #queue: Frame[] = [];
    readonly #prepared = new Map<string, Prepared>();
    readonly #portals = new Map<string, Portal>();
    #busy = false;
    /** After an error in the extended protocol, everything up to the next Sync is skipped. */
    #skipping = false;

    constructor(socket: Socket, host: ServerState, faults: Faults, settings: ReadonlyMap<string, string>) {
        this.#socket = socket;
        this.#faults = faults;
        this.#runner = new StatementRunner(host, settings);
        this.#answers = new AnswerQueue(socket, faults);
        socket.on("data", (chunk: Buffer) => this.receive(chunk));
    }

    receive(chunk: Buffer): void {
        const frames = this.#reader.push(chunk);
        if ("kind" in frames) {
            this.#socket.destroy();
            return;
        }
        this.#queue.push(...frames);
        this.pump();
    }

    cancel(): void {
        this.#runner.cancel();
    }

    /** Continues with queued messages; called again when a fault ends. */
    pump(): void {
        this.#answers.flush(false);
        while (!this.#busy && !this.#faults.holdRequests) {
            const frame = this.#queue.shift();
            if (frame === undefined) {
                break;
            }
            const work = this.#take(frame);
            if (work !== undefined) {
                this.#busy = true;
                void work.then(() => {
                    this.#busy = false;
                    this.pump();
                });
            }
        }
    }

    #take(frame: Frame): void | Promise<void> {
        if (frame.type === FrontendType.Sync) {
            this.#skipping = false;
            this.#ready(this.#runner.endImplicit());
        }
        else if (frame.type === FrontendType.Terminate) {
            this.#socket.destroySoon();
        }
        else if (!this.#skipping) {
            return this.#handle(frame);
        }
    }

    #handle(frame: Frame): void | Promise<void> {
        switch (frame.type) {
            case FrontendType.Query:
                return this.#query(messages.sqlOf(frame) ?? "");
            case FrontendType.Parse:
                this.#parse(frame);
                break;
            case FrontendType.Bind:
                this.#bind(frame);
                break;
            case FrontendType.Describe:
                this.#describe(frame);
                break;
            case FrontendType.Execute:
                return this.#execute(frame);
            case FrontendType.Close:
                this.#prepared.delete(messages.statementNameOf(frame) ?? "");
                this.#portals.delete(messages.portalNameOf(frame) ?? "");
                this.#answers.add(messages.emptyMessage(BackendType.CloseComplete));
                break;
            case FrontendType.Flush:
                this.#answers.flush(false);
                break;
            case FrontendType.CopyData:
            case FrontendType.CopyDone:
            case FrontendType.CopyFail:
                // The rest of a COPY that was refused; PostgreSQL ignores it too.
                break;
            default:
                this.#fail(sqlError("0A000", `message type ${frame.type} is not supported`));
        }
    }

    /** Synchronous as long as no statement waits, so that a fast statement costs no promise. */
    #query(sql: string): void | Promise<void> {
        const statements = parseStatements(sql);
        const next = (index: number): void | Promise<void> => {
            for (let current = index; current < statements.length; current++) {
                const statement = statements[current];
                const outcome = statement === undefined ? unknown(sql) : this.#runner.run(statement, []);
                if (outcome instanceof Promise) {
                    return outcome.then((late) => this.#report(late, statement) ? next(current + 1) : this.#endQuery());
                }
                if (!this.#report(outcome, statement)) {
                    break;
                }
            }
            this.#endQuery();
        };
        return next(0);
    }

    #endQuery(): void {
        this.#ready(this.#runner.endImplicit());
    }

    /** Adds the answer of one statement of a simple query; false ends the query. */
    #report(outcome: Result | SqlError, statement: Statement | undefined): boolean {
        if (outcome.kind === "sqlError") {
            // An unknown statement did not reach the runner, and aborts the transaction all the same.
            this.#runner.fail();
            this.#answers.add(messages.errorResponse(outcome.sqlstate, outcome.message));
            return false;
        }
        this.#forget(statement);
        if (outcome.columns !== undefined) {
            this.#answers.add(messages.rowDescription(outcome.columns));
        }
        outcome.rows?.forEach((row) => this.#answers.add(messages.dataRow(row)));
        this.#answers.add(
            outcome.tag === ""
                ? messages.emptyMessage(BackendType.EmptyQueryResponse)
                : messages.commandComplete(outcome.tag),
        );
        return true;
    }

    #forget(statement: Statement | undefined): void {
        if (statement?.kind === "discardAll" || (statement?.kind === "deallocate" && statement.name === undefined)) {
            this.#prepared.clear();
        }
        else if (statement?.kind === "deallocate") {
            this.#prepared.delete(statement.name ?? "");
        }
    }

    #parse(frame: Frame): void {
        const sql = messages.sqlOf(frame) ?? "";
        const name = messages.statementNameOf(frame) ?? "";
        const statements = parseStatements(sql);
        const statement = statements[0];
        if (statements.length > 1) {
            this.#fail(sqlError("42601", "cannot insert multiple commands into a prepared statement"));
        }
        else if (statement === undefined) {
            this.#fail(unknown(sql));
        }
        else if (name !== "" && this.#prepared.has(name)) {
            this.#fail(sqlError("42P05", `prepared statement "${name}" already exists`));
        }
        else {
            const count = Math.max(0, ...[...sql.matchAll(/\$(\d+)/g)].map(([, number]) => Number(number)));
            const declared = messages.parameterTypesOf(frame);
            const parameterTypes = Array.from({ length: count }, (_, index) => declared[index] || TEXT);
            this.#prepared.set(name, { statement, parameterTypes });
            this.#answers.add(messages.emptyMessage(BackendType.ParseComplete));
        }
    }

    #bind(frame: Frame): void {
        const name = messages.statementNameOf(frame) ?? "";
        const prepared = this.#prepared.get(name);
        if (prepared === undefined) {
            this.#fail(sqlError("26000", `prepared statement "${name}" does not exist`));
            return;
        }
        const portal = { statement: prepared.statement, parameters: readBind(frame), result: undefined, sent: 0 };
        this.#portals.set(messages.portalNameOf(frame) ?? "", portal);
        this.#answers.add(messages.emptyMessage(BackendType.BindComplete));
    }

    #describe(frame: Frame): void {
        const statementName = messages.statementNameOf(frame);
        const prepared = statementName === undefined ? undefined : this.#prepared.get(statementName);
        const found = prepared ?? this.#portals.get(messages.portalNameOf(frame) ?? "");
        if (found === undefined || (statementName !== undefined && prepared === undefined)) {
            this.#fail(sqlError("26000", "nothing to describe has this name"));
            return;
        }
        if (prepared !== undefined) {
            this.#answers.add(messages.parameterDescription(prepared.parameterTypes));
        }
        const columns = columnsOf(found.statement);
        this.#answers.add(
            columns === undefined ? messages.emptyMessage(BackendType.NoData) : messages.rowDescription(columns),
        );
    }

    #execute(frame: Frame): void | Promise<void> {
        const name = messages.portalNameOf(frame) ?? "";
        const portal = this.#portals.get(name);
        if (portal === undefined) {
            this.#fail(sqlError("34000", `portal "${name}" does not exist`));
            return;
        }
        const maxRows = frame.bytes.readInt32BE(HEADER_BYTES + Buffer.byteLength(name) + 1);
        const outcome = portal.result ?? this.#runner.run(portal.statement, portal.parameters);
        if (outcome instanceof Promise) {
            return outcome.then((late) => this.#sendRows(portal, late, maxRows));
        }
        this.#sendRows(portal, outcome, maxRows);
    }

    #sendRows(portal: Portal, outcome: Result | SqlError, maxRows: number): void {
        if (outcome.kind === "sqlError") {
            this.#fail(outcome);
            return;
        }
        portal.result = outcome;
        this.#forget(portal.statement);
        const rows = outcome.rows ?? [];
        const end = maxRows > 0 ? Math.min(rows.length, portal.sent + maxRows) : rows.length;
        rows.slice(portal.sent, end).forEach((row) => this.#answers.add(messages.dataRow(row)));
        portal.sent = end;
        if (end < rows.length) {
            this.#answers.add(messages.emptyMessage(BackendType.PortalSuspended));
        }
        else {
            this.#answers.add(
                outcome.tag === ""
                    ? messages.emptyMessage(BackendType.EmptyQueryResponse)
                    : messages.commandComplete(outcome.tag),
            );
        }
    }

    #fail(error: SqlError): void {
        this.#skipping = true;
        this.#runner.fail();
        this.#answers.add(messages.errorResponse(error.sqlstate, error.message));
    }

    #ready(error: SqlError | undefined): void {
        if (error !== undefined) {
            this.#answers.add(messages.errorResponse(error.sqlstate, error.message));
        }
        this.#answers.add(messages.readyForQuery(this.#runner.status));
        this.#answers.flush(true);
    }
}

function unknown(sql: string): SqlError {
    return sqlError("0A000", `the stand-in does not know this statement: ${sql.slice(0, 100)}`);
}
