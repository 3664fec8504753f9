import type { Column } from "@medlarledge/postgres";
import { formatPosition } from "@medlarledge/protocol";
import type { ServerState } from "./server-state.js";
import type { Item, SelectColumn, ServerFunction, Statement, Value } from "./statements.js";
import { type SqlError, sqlError, type Transaction } from "./transaction.js";

export interface Result {
    readonly kind: "result";
    readonly tag: string;
    readonly columns?: readonly Column[];
    readonly rows?: readonly (readonly (string | undefined)[])[];
}

type Of<K extends Statement["kind"]> = Extract<Statement, { kind: K; }>;

export type Parameters = readonly (string | undefined)[];

const TEXT = 25;
const BIGINT = 20;
const FUNCTION_TYPES: Readonly<Record<ServerFunction, number>> = {
    inRecovery: 16,
    insertPosition: 3220,
    replayPosition: 3220,
    eitherPosition: 3220,
    timeline: 23,
    checkpointTimeline: 23,
    systemIdentifier: BIGINT,
    promote: 16,
    reload: 16,
};
const VOID = 2278;

/** Columns of a statement's rows; undefined when it returns none. */
export function columnsOf(statement: Statement): readonly Column[] | undefined {
    if (statement.kind === "select") {
        return statement.columns.map((name) => ({ name, typeId: name === "count" ? BIGINT : TEXT }));
    }
    if (statement.kind === "show") {
        return [{ name: statement.name, typeId: TEXT }];
    }
    return statement.kind === "evaluate"
        ? statement.items.map((item) => ({ name: item.name, typeId: typeOf(item) }))
        : undefined;
}

function typeOf(item: Item): number {
    if (item.kind === "value") {
        return item.typeId;
    }
    return item.kind === "sleep" ? VOID : FUNCTION_TYPES[item.call];
}

/** True for statements that take a slot: those on tables, sleeps, and constants such as SELECT 1. */
export function takesSlot(statement: Statement): boolean {
    return statement.kind === "evaluate"
        ? statement.items.some((item) => item.kind !== "function")
        : ["select", "insert", "update", "delete", "createTable"].includes(statement.kind);
}

/** How long a statement sleeps, in ms. */
export function sleepOf(statement: Statement, parameters: Parameters): number {
    const items = statement.kind === "evaluate" ? statement.items : [];
    return items.reduce((sum, item) => {
        return sum + (item.kind === "sleep" ? Number(valueOf(item.seconds, parameters) ?? 0) * 1_000 : 0);
    }, 0);
}

export function valueOf(value: Value, parameters: Parameters): string | undefined {
    return value.kind === "constant" ? value.text : parameters[value.number - 1];
}

type TableStatement = Extract<Statement, { table: string; }>;

/** Runs a statement on tables within a transaction. */
export function executeOnTable(
    statement: TableStatement,
    parameters: Parameters,
    transaction: Transaction,
    server: ServerState,
): Result | SqlError {
    if (statement.kind !== "select" && (server.isReplica || transaction.readOnly)) {
        return sqlError("25006", "cannot execute a write in a read-only transaction");
    }
    const exists = transaction.hasTable(statement.table);
    if (statement.kind === "createTable") {
        return createTable(statement, exists, transaction);
    }
    if (!exists) {
        return sqlError("42P01", `relation "${statement.table}" does not exist`);
    }
    switch (statement.kind) {
        case "select":
            return select(statement, parameters, transaction);
        case "insert":
            return insert(statement, parameters, transaction);
        case "update":
            return update(statement, parameters, transaction);
        case "delete":
            return remove(statement, parameters, transaction);
    }
}

function createTable(
    statement: Of<"createTable">,
    exists: boolean,
    transaction: Transaction,
): Result | SqlError {
    if (exists && !statement.ifNotExists) {
        return sqlError("42P07", `relation "${statement.table}" already exists`);
    }
    if (!exists) {
        transaction.createTable(statement.table);
    }
    return { kind: "result", tag: "CREATE TABLE" };
}

function select(
    statement: Of<"select">,
    parameters: Parameters,
    transaction: Transaction,
): Result {
    const key = statement.key && valueOf(statement.key, parameters);
    const found = key === undefined ? undefined : transaction.get(statement.table, key);
    let rows = found === undefined || key === undefined ? [] : [[key, found.value] as const];
    if (statement.key === undefined) {
        rows = [...transaction.rows(statement.table)];
    }
    if (statement.columns[0] !== "count") {
        rows.sort(([left], [right]) => left < right ? -1 : 1);
    }
    const limit = statement.limit && valueOf(statement.limit, parameters);
    const pick = ([rowKey, value]: readonly [string, string | undefined]) =>
        statement.columns.map((column: SelectColumn) => column === "key" ? rowKey : value);
    const picked = statement.columns[0] === "count" ? [[String(rows.length)]] : rows.map(pick);
    const limited = limit === undefined ? picked : picked.slice(0, Number(limit));
    return { kind: "result", tag: `SELECT ${limited.length}`, columns: columnsOf(statement) ?? [], rows: limited };
}

function insert(
    statement: Of<"insert">,
    parameters: Parameters,
    transaction: Transaction,
): Result | SqlError {
    let count = 0;
    for (const [keyValue, insertedValue] of statement.rows) {
        const key = valueOf(keyValue, parameters);
        if (key === undefined) {
            return sqlError("23502", 'null value in column "key" violates not-null constraint');
        }
        const exists = transaction.get(statement.table, key) !== undefined;
        if (exists && statement.conflict === "error") {
            return sqlError("23505", `duplicate key value violates unique constraint "${statement.table}_pkey"`);
        }
        if (!exists || statement.conflict === "update") {
            const value = exists && statement.update !== undefined ? statement.update : insertedValue;
            transaction.put(
                statement.table,
                key,
                valueOf(value, parameters),
                !exists && statement.conflict !== "update",
            );
            count++;
        }
    }
    return { kind: "result", tag: `INSERT 0 ${count}` };
}

function update(
    statement: Of<"update">,
    parameters: Parameters,
    transaction: Transaction,
): Result {
    const key = valueOf(statement.key, parameters);
    if (key === undefined || transaction.get(statement.table, key) === undefined) {
        return { kind: "result", tag: "UPDATE 0" };
    }
    transaction.put(statement.table, key, valueOf(statement.value, parameters), false);
    return { kind: "result", tag: "UPDATE 1" };
}

function remove(
    statement: Of<"delete">,
    parameters: Parameters,
    transaction: Transaction,
): Result {
    const key = statement.key && valueOf(statement.key, parameters);
    const keys = statement.key === undefined ? transaction.rows(statement.table).map(([each]) => each) : [key];
    let count = 0;
    for (const each of keys) {
        if (each !== undefined && transaction.get(statement.table, each) !== undefined) {
            transaction.delete(statement.table, each);
            count++;
        }
    }
    return { kind: "result", tag: `DELETE ${count}` };
}

const CALLS: Readonly<Record<ServerFunction, (server: ServerState) => string | undefined | SqlError>> = {
    inRecovery: (server) => server.isReplica ? "t" : "f",
    insertPosition: (server) =>
        server.isReplica ? sqlError("55000", "recovery is in progress") : formatPosition(server.store.position),
    replayPosition: (server) => server.replayPosition === undefined ? undefined : formatPosition(server.replayPosition),
    eitherPosition: (server) => formatPosition(server.store.position),
    timeline: (server) => String(server.isReplica ? server.checkpointTimeline : server.store.timeline),
    checkpointTimeline: (server) => String(server.checkpointTimeline),
    systemIdentifier: (server) => server.systemIdentifier,
    promote: (server) => {
        if (!server.isReplica) {
            return sqlError("55000", "recovery is not in progress");
        }
        server.promote();
        return "t";
    },
    reload: (server) => {
        server.reload();
        return "t";
    },
};

/** Runs a SELECT of constants and functions. */
export function evaluate(
    statement: Of<"evaluate">,
    parameters: Parameters,
    server: ServerState,
): Result | SqlError {
    const row: (string | undefined)[] = [];
    for (const item of statement.items) {
        const value = item.kind === "function" ? CALLS[item.call](server) : undefined;
        if (typeof value === "object") {
            return value;
        }
        row.push(item.kind === "value" ? valueOf(item.value, parameters) : item.kind === "sleep" ? "" : value);
    }
    return { kind: "result", tag: "SELECT 1", columns: columnsOf(statement) ?? [], rows: [row] };
}
