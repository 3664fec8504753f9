/** A constant, or a parameter by its number from 1. */
export type Value =
    | { readonly kind: "constant"; readonly text: string | undefined; }
    | { readonly kind: "parameter"; readonly number: number; };

export type SelectColumn = "key" | "value" | "count";

export type Statement =
    | { readonly kind: "empty"; }
    | { readonly kind: "createTable"; readonly table: string; readonly ifNotExists: boolean; }
    | {
        readonly kind: "insert";
        readonly table: string;
        readonly rows: readonly (readonly [Value, Value])[];
        readonly conflict: "error" | "nothing" | "update";
        /** Value set on conflict; undefined sets the row's own new value. */
        readonly update: Value | undefined;
    }
    | { readonly kind: "update"; readonly table: string; readonly value: Value; readonly key: Value; }
    | { readonly kind: "delete"; readonly table: string; readonly key: Value | undefined; }
    | {
        readonly kind: "select";
        readonly table: string;
        readonly columns: readonly SelectColumn[];
        readonly key: Value | undefined;
        readonly limit: Value | undefined;
    }
    /** SELECT of constants and functions. */
    | { readonly kind: "evaluate"; readonly items: readonly Item[]; }
    | { readonly kind: "begin"; readonly readOnly: boolean; }
    | { readonly kind: "commit"; }
    | { readonly kind: "rollback"; }
    | { readonly kind: "set"; readonly name: string; readonly value: string; }
    | { readonly kind: "show"; readonly name: string; }
    | { readonly kind: "alterSystem"; readonly name: string; readonly value: string | undefined; }
    | { readonly kind: "discardAll"; }
    | { readonly kind: "deallocate"; readonly name: string | undefined; };

export type ServerFunction =
    | "inRecovery"
    | "insertPosition"
    | "replayPosition"
    | "eitherPosition"
    | "timeline"
    | "checkpointTimeline"
    | "systemIdentifier"
    | "promote"
    | "reload";

export type Item =
    | { readonly kind: "value"; readonly name: string; readonly value: Value; readonly typeId: number; }
    | { readonly kind: "sleep"; readonly name: string; readonly seconds: Value; }
    | { readonly kind: "function"; readonly name: string; readonly call: ServerFunction; };

const TEXT = 25;
const INTEGER = 23;
const VALUE = String.raw`('(?:[^']|'')*'|\$\d+|-?\d+(?:\.\d+)?|null)(?:::\w+)?`;
const NAME = String.raw`(?:public\.)?"?([a-z_]\w*)"?`;
const WHERE_KEY = String.raw`where key = ${VALUE}`;

const FUNCTIONS: readonly (readonly [RegExp, ServerFunction, string])[] = [
    [/^pg_is_in_recovery\(\)$/i, "inRecovery", "pg_is_in_recovery"],
    [/^pg_current_wal_(insert_)?lsn\(\)$/i, "insertPosition", "pg_current_wal_insert_lsn"],
    [/^pg_last_wal_(replay|receive)_lsn\(\)$/i, "replayPosition", "pg_last_wal_replay_lsn"],
    [
        /^case when pg_is_in_recovery\(\) then pg_last_wal_replay_lsn\(\) else pg_current_wal_insert_lsn\(\) end$/i,
        "eitherPosition",
        "case",
    ],
    [/^\(?pg_control_checkpoint\(\)\)?(\.timeline_id)?$/i, "checkpointTimeline", "timeline_id"],
    [
        /^case when pg_is_in_recovery\(\) then \(pg_control_checkpoint\(\)\)\.timeline_id else \('x' \|\| left\(pg_walfile_name\(pg_current_wal_insert_lsn\(\)\), 8\)\)::bit\(32\)::int end$/i,
        "timeline",
        "case",
    ],
    [/^\(?pg_control_system\(\)\)?(\.system_identifier)?$/i, "systemIdentifier", "system_identifier"],
    [/^pg_promote\([^)]*\)$/i, "promote", "pg_promote"],
    [/^pg_reload_conf\(\)$/i, "reload", "pg_reload_conf"],
];

type Recogniser = (match: RegExpExecArray) => Statement | undefined;

/** The forms of statements that the stand-in knows, in lower or upper case. */
const FORMS: readonly (readonly [RegExp, Recogniser])[] = [
    [/^$/, () => ({ kind: "empty" })],
    [/^(?:begin|start transaction)(?: .*)?$/i, ([text]) => ({ kind: "begin", readOnly: /read only/i.test(text) })],
    [/^(?:commit|end)(?: (?:work|transaction))?$/i, () => ({ kind: "commit" })],
    [/^(?:rollback|abort)(?: (?:work|transaction))?$/i, () => ({ kind: "rollback" })],
    [
        form(
            String
                .raw`select (.+?) from ${NAME}(?: ${WHERE_KEY})?(?: order by key)?(?: limit ${VALUE})?(?: for update)?`,
        ),
        select,
    ],
    [form(String.raw`insert into ${NAME}(?: ?\(key, ?value\))? values ?(.+?)( on conflict.*)?`), insert],
    [
        form(String.raw`update ${NAME} set value = ${VALUE} ${WHERE_KEY}`),
        ([, table, value, key]) => ({ kind: "update", table: lower(table), value: toValue(value), key: toValue(key) }),
    ],
    [
        form(String.raw`delete from ${NAME}(?: ${WHERE_KEY})?`),
        ([, table, key]) => ({
            kind: "delete",
            table: lower(table),
            key: key === undefined ? undefined : toValue(key),
        }),
    ],
    [
        form(String.raw`create table (if not exists )?${NAME} ?\( ?key text primary key, ?value text ?\)`),
        ([, guard, table]) => ({ kind: "createTable", table: lower(table), ifNotExists: guard !== undefined }),
    ],
    [form("select (.+)"), evaluate],
    [
        form(String.raw`set (?:session |local )?([\w.]+) ?(?:=| to ) ?(.+)`),
        ([, name, value]) => ({ kind: "set", name: lower(name), value: unquote(value) }),
    ],
    [
        form(String.raw`alter system set ([\w.]+) ?(?:=| to ) ?(.+)`),
        ([, name, value]) => ({ kind: "alterSystem", name: lower(name), value: unquote(value) }),
    ],
    [
        form(String.raw`alter system reset ([\w.]+)`),
        ([, name]) => ({ kind: "alterSystem", name: lower(name), value: undefined }),
    ],
    [form(String.raw`show ([\w.]+)`), ([, name]) => ({ kind: "show", name: lower(name) })],
    [form("discard all"), () => ({ kind: "discardAll" })],
    [
        form(String.raw`deallocate (?:prepare )?"?(\w+)"?`),
        ([, name]) => ({ kind: "deallocate", name: lower(name) === "all" ? undefined : name }),
    ],
];

function form(pattern: string): RegExp {
    return new RegExp(`^${pattern}$`, "is");
}

function lower(name: string | undefined): string {
    return (name ?? "").toLowerCase();
}

function unquote(text: string | undefined): string {
    const trimmed = (text ?? "").trim();
    if (/^e'.*'$/is.test(trimmed)) {
        return trimmed.slice(2, -1).replace(/''|\\(.)/gs, (_, escaped: string | undefined) => escaped ?? "'");
    }
    return /^'.*'$/s.test(trimmed) ? trimmed.slice(1, -1).replaceAll("''", "'") : trimmed;
}

function toValue(text: string | undefined): Value {
    if (text === undefined || text.toLowerCase() === "null") {
        return { kind: "constant", text: undefined };
    }
    return text.startsWith("$")
        ? { kind: "parameter", number: Number(text.slice(1)) }
        : { kind: "constant", text: unquote(text) };
}

const COLUMN_LISTS: Readonly<Record<string, readonly SelectColumn[]>> = {
    "*": ["key", "value"],
    "key,value": ["key", "value"],
    "value,key": ["value", "key"],
    "key": ["key"],
    "value": ["value"],
    "count(*)": ["count"],
};

function select([, list, table, key, limit]: RegExpExecArray): Statement | undefined {
    const columns = COLUMN_LISTS[lower(list).replaceAll(" ", "")];
    if (columns === undefined) {
        // The functions that return a row may stand behind FROM.
        return undefined;
    }
    return {
        kind: "select",
        table: lower(table),
        columns,
        key: key === undefined ? undefined : toValue(key),
        limit: limit === undefined ? undefined : toValue(limit),
    };
}

const ROW = new RegExp(String.raw`\( ?${VALUE}, ?${VALUE} ?\)`, "gis");
const ROWS = form(String.raw`\( ?${VALUE}, ?${VALUE} ?\)(?:, ?\( ?${VALUE}, ?${VALUE} ?\))*`);
const CONFLICT = form(
    String.raw` on conflict(?: ?\(key\))? do (nothing|update set value = (?:(excluded\.value)|${VALUE}))`,
);

function insert([, table, rows, clause]: RegExpExecArray): Statement | undefined {
    const conflict = clause === undefined ? undefined : CONFLICT.exec(clause);
    if (rows === undefined || !ROWS.test(rows) || conflict === null) {
        return undefined;
    }
    const [, action, excluded, value] = conflict ?? [];
    const other = lower(action) === "nothing" ? "nothing" : "update";
    return {
        kind: "insert",
        table: lower(table),
        rows: [...rows.matchAll(ROW)].map(([, key, inserted]) => [toValue(key), toValue(inserted)]),
        conflict: conflict === undefined ? "error" : other,
        update: excluded === undefined && value !== undefined ? toValue(value) : undefined,
    };
}

const SLEEP = form(String.raw`pg_sleep\(${VALUE}\)`);
const CONSTANT = form(VALUE);

function evaluate([, list = ""]: RegExpExecArray): Statement | undefined {
    const fromFunction = /^(timeline_id|system_identifier) from (pg_control_(?:checkpoint|system)\(\))$/i.exec(list);
    const texts = fromFunction === null ? list.split(/,(?![^(]*\))/) : [fromFunction[2] ?? ""];
    const items = texts.map((text) => toItem(text.trim()));
    return items.every((item) => item !== undefined) ? { kind: "evaluate", items } : undefined;
}

function toItem(text: string): Item | undefined {
    const [, expression = "", alias] = /^(.*?)(?: as "?(\w+)"?)?$/is.exec(text) ?? [];
    const sleep = SLEEP.exec(expression);
    if (sleep !== null) {
        return { kind: "sleep", name: alias ?? "pg_sleep", seconds: toValue(sleep[1]) };
    }
    const constant = CONSTANT.exec(expression);
    if (constant !== null) {
        const typeId = /^-?\d+$/.test(expression) ? INTEGER : TEXT;
        return { kind: "value", name: alias ?? "?column?", value: toValue(constant[1]), typeId };
    }
    const found = FUNCTIONS.find(([pattern]) => pattern.test(expression));
    return found && { kind: "function", name: alias ?? found[2], call: found[1] };
}

/** Splits at semicolons outside of quotes, and removes comments and repeated white space outside of quotes. */
export function splitStatements(sql: string): readonly string[] {
    const statements = [""];
    for (const [token] of sql.matchAll(/'(?:[^']|'')*'|"[^"]*"|\/\*[\s\S]*?\*\/|--[^\n]*|\s+|;|[\w$(),.=*:]+|\S/g)) {
        const last = statements.length - 1;
        if (token === ";") {
            statements.push("");
        }
        else {
            const isSpace = /^(\s|\/\*|--)/.test(token);
            statements[last] = isSpace ? `${statements[last]?.trimEnd() ?? ""} ` : `${statements[last] ?? ""}${token}`;
        }
    }
    const trimmed = statements.map((statement) => statement.trim());
    const filled = trimmed.filter((statement) => statement !== "");
    return filled.length > 0 ? filled : [""];
}

const CACHE_ENTRIES = 1_000;
const cache = new Map<string, readonly (Statement | undefined)[]>();

/** Recognises the statements of a text; undefined stands for one of an unknown form. */
export function parseStatements(sql: string): readonly (Statement | undefined)[] {
    let statements = cache.get(sql);
    if (statements === undefined) {
        statements = splitStatements(sql).map(recognise);
        if (cache.size >= CACHE_ENTRIES) {
            cache.clear();
        }
        cache.set(sql, statements);
    }
    return statements;
}

function recognise(text: string): Statement | undefined {
    for (const [pattern, toStatement] of FORMS) {
        const match = pattern.exec(text);
        const statement = match === null ? undefined : toStatement(match);
        if (statement !== undefined) {
            return statement;
        }
    }
    return undefined;
}
