import { PINNING_FUNCTIONS, READ_ONLY_FUNCTIONS, SESSION_FUNCTIONS } from "./read-only-functions.js";
import { type ProxySettingStatement, StatementKind } from "./statement-kind.js";
import { type Fields, isFields, stringsOf, textOf, type TypedNode, typedNode, visit } from "./syntax-tree.js";

/** Classification of one statement of a text; flags that are left out are false. */
export interface StatementFacts {
    readonly kind: StatementKind;
    readonly pins?: boolean;
    readonly resets?: boolean;
    readonly readOnly?: boolean;
    readonly transactionOnly?: boolean;
    readonly refusal?: string;
    readonly set?: ProxySettingStatement;
}

const READ: StatementFacts = { kind: StatementKind.Read };
const WRITE: StatementFacts = { kind: StatementKind.Write };
const PINNED: StatementFacts = { kind: StatementKind.Pinned, pins: true };
const SETS_SESSION: StatementFacts = { kind: StatementKind.SessionState, pins: true };
const CLEARS_SESSION: StatementFacts = { kind: StatementKind.SessionState };

const PROXY_SETTING_PREFIX = "medlarledge.";

// CURSOR_OPT_HOLD of PostgreSQL's parsenodes.h.
const CURSOR_WITH_HOLD = 0x0020;

// On a replica these settings show its own role, which a driver would take for that of the whole database.
const ROLE_SETTINGS: ReadonlySet<string> = new Set(["transaction_read_only", "in_hot_standby"]);

const FALSE_WORDS: ReadonlySet<string> = new Set(["false", "off", "0"]);

/** Classification rules by the node type of the statement; a type that is not listed is a write. */
const RULES: Readonly<Record<string, (fields: Fields) => StatementFacts>> = {
    SelectStmt: classifySelect,
    InsertStmt: () => WRITE,
    TransactionStmt: classifyTransaction,
    VariableSetStmt: classifySet,
    VariableShowStmt: classifyShow,
    ExplainStmt: classifyExplain,
    CopyStmt: classifyCopy,
    DeclareCursorStmt: classifyDeclareCursor,
    FetchStmt: () => READ,
    ClosePortalStmt: () => READ,
    PrepareStmt: () => PINNED,
    ExecuteStmt: () => PINNED,
    DeallocateStmt: () => PINNED,
    ListenStmt: () => PINNED,
    UnlistenStmt: () => PINNED,
    LoadStmt: () => SETS_SESSION,
    ConstraintsSetStmt: () => WRITE,
    DiscardStmt: fields => ({ ...CLEARS_SESSION, resets: fields["target"] === "DISCARD_ALL" }),
};

/** Classifies a statement by its type, its function calls and its use of temporary tables. */
export function classifyStatement(statement: unknown): StatementFacts {
    const node = typedNode(statement);
    if (node === undefined) {
        return WRITE;
    }
    const facts = RULES[node.type]?.(node.fields) ?? WRITE;
    return usesTemporaryTable(node) ? { ...PINNED } : applyFunctionCalls(node, facts);
}

function classifySelect(fields: Fields): StatementFacts {
    let writes = fields["intoClause"] !== undefined;
    visit(fields, (type, inner) => {
        writes ||= type === "InsertStmt" || type === "UpdateStmt" || type === "DeleteStmt" || type === "MergeStmt"
            || inner["lockingClause"] !== undefined;
    });
    return writes ? WRITE : READ;
}

function applyFunctionCalls(node: TypedNode, facts: StatementFacts): StatementFacts {
    let result = facts;
    visit(node.fields, (type, fields) => {
        if (type === "FuncCall") {
            result = mergeFacts(result, classifyFunction(fields));
        }
    });
    return result;
}

/** Precedence of kinds, lowest first, for statements to which several apply. */
const PRECEDENCE: readonly StatementKind[] = [
    StatementKind.Read,
    StatementKind.Write,
    StatementKind.SessionState,
    StatementKind.Pinned,
    StatementKind.Begin,
    StatementKind.Rollback,
    StatementKind.Commit,
    StatementKind.ProxySetting,
    StatementKind.Refused,
];

/** Merges two classifications: the kind with the higher precedence, and `pins` and `transactionOnly` of either. */
export function mergeFacts(left: StatementFacts, right: StatementFacts): StatementFacts {
    const base = PRECEDENCE.indexOf(left.kind) >= PRECEDENCE.indexOf(right.kind) ? left : right;
    return {
        ...base,
        pins: left.pins === true || right.pins === true,
        transactionOnly: left.transactionOnly === true || right.transactionOnly === true,
    };
}

function classifyFunction(fields: Fields): StatementFacts {
    const names = stringsOf(fields["funcname"]);
    const name = names.at(-1) ?? "";
    if (names.length > 1 && names[0] !== "pg_catalog") {
        return WRITE;
    }
    if (name === "set_config") {
        return classifySetConfig(fields);
    }
    if (PINNING_FUNCTIONS.has(name)) {
        return PINNED;
    }
    if (SESSION_FUNCTIONS.has(name)) {
        return { ...WRITE, transactionOnly: true };
    }
    return READ_ONLY_FUNCTIONS.has(name) ? READ : WRITE;
}

/** set_config(name, value, true) is limited to the transaction; any other form may change the session. */
function classifySetConfig(fields: Fields): StatementFacts {
    const args: readonly unknown[] = Array.isArray(fields["args"]) ? fields["args"] : [];
    if (isProxySetting(textOf(args[0]) ?? "")) {
        return refused("set_config cannot change a medlarledge. setting: use SET");
    }
    return textOf(args[2]) === "true" ? READ : SETS_SESSION;
}

function usesTemporaryTable(node: TypedNode): boolean {
    let temporary = false;
    visit(node.fields, (_type, fields) => {
        temporary ||= fields["relpersistence"] === "t" || fields["schemaname"] === "pg_temp";
    });
    return temporary;
}

const TRANSACTION_RULES: Readonly<Record<string, (fields: Fields) => StatementFacts>> = {
    TRANS_STMT_BEGIN: classifyBegin,
    TRANS_STMT_START: classifyBegin,
    TRANS_STMT_COMMIT: () => ({ kind: StatementKind.Commit }),
    TRANS_STMT_ROLLBACK: () => ({ kind: StatementKind.Rollback }),
    TRANS_STMT_SAVEPOINT: () => WRITE,
    TRANS_STMT_RELEASE: () => WRITE,
    TRANS_STMT_ROLLBACK_TO: () => WRITE,
    TRANS_STMT_PREPARE: () => refused("two-phase commit is not supported: its outcome could not be followed"),
};

function classifyTransaction(fields: Fields): StatementFacts {
    return TRANSACTION_RULES[String(fields["kind"])]?.(fields) ?? WRITE;
}

function classifyBegin(fields: Fields): StatementFacts {
    const options: readonly unknown[] = Array.isArray(fields["options"]) ? fields["options"] : [];
    const last = options
        .map(option => typedNode(option)?.fields)
        .findLast(option => option?.["defname"] === "transaction_read_only");
    return { kind: StatementKind.Begin, readOnly: last !== undefined && textOf(last["arg"]) === "1" };
}

function classifySet(fields: Fields): StatementFacts {
    const name = nameOf(fields);
    const kind = String(fields["kind"]);
    if (isProxySetting(name)) {
        return classifyProxySetting(kind, name, fields["args"]);
    }
    if (fields["is_local"] === true || (kind === "VAR_SET_MULTI" && name.startsWith("TRANSACTION"))) {
        return READ;
    }
    // Pooled connections always have the default settings, so a reset does not pin a connection.
    return kind === "VAR_RESET" || kind === "VAR_RESET_ALL" || kind === "VAR_SET_DEFAULT"
        ? CLEARS_SESSION
        : SETS_SESSION;
}

function classifyProxySetting(kind: string, name: string, args: unknown): StatementFacts {
    if (kind === "VAR_RESET" || kind === "VAR_SET_DEFAULT") {
        return { kind: StatementKind.ProxySetting, set: { action: "reset", name, value: "" } };
    }
    const value = Array.isArray(args) && args.length === 1 ? textOf(args[0]) : undefined;
    return value === undefined
        ? refused(`${name} takes one constant`)
        : { kind: StatementKind.ProxySetting, set: { action: "set", name, value } };
}

function classifyShow(fields: Fields): StatementFacts {
    const name = nameOf(fields).toLowerCase();
    if (isProxySetting(name)) {
        return { kind: StatementKind.ProxySetting, set: { action: "show", name, value: "" } };
    }
    return ROLE_SETTINGS.has(name) ? WRITE : READ;
}

/** EXPLAIN executes its statement only with ANALYZE. */
function classifyExplain(fields: Fields): StatementFacts {
    const inner = typedNode(fields["query"]);
    if (inner?.type === "ExecuteStmt") {
        return PINNED;
    }
    return isOptionEnabled(fields["options"], "analyze") ? classifyStatement(fields["query"]) : READ;
}

function isOptionEnabled(options: unknown, name: string): boolean {
    const list: readonly unknown[] = Array.isArray(options) ? options : [];
    const last = list.map(option => typedNode(option)?.fields).findLast(option => option?.["defname"] === name);
    return last !== undefined && !FALSE_WORDS.has((argumentText(last["arg"]) ?? "true").toLowerCase());
}

/** Returns the text of an option's value, which can be an Integer or Boolean node as well as a string. */
function argumentText(value: unknown): string | undefined {
    const node = typedNode(value);
    if (node?.type === "Integer") {
        return String((node.fields["ival"] as number | undefined) ?? 0);
    }
    if (node?.type === "Boolean") {
        return String(node.fields["boolval"] === true);
    }
    return textOf(value);
}

function classifyCopy(fields: Fields): StatementFacts {
    const serverSide = fields["is_program"] === true || fields["filename"] !== undefined;
    if (fields["is_from"] === true || serverSide) {
        return WRITE;
    }
    return isFields(fields["query"]) ? classifyStatement(fields["query"]) : READ;
}

function classifyDeclareCursor(fields: Fields): StatementFacts {
    const options = typeof fields["options"] === "number" ? fields["options"] : 0;
    return (options & CURSOR_WITH_HOLD) !== 0 ? PINNED : classifyStatement(fields["query"]);
}

function nameOf(fields: Fields): string {
    return typeof fields["name"] === "string" ? fields["name"] : "";
}

function isProxySetting(name: string): boolean {
    return name.toLowerCase().startsWith(PROXY_SETTING_PREFIX);
}

function refused(refusal: string): StatementFacts {
    return { kind: StatementKind.Refused, refusal };
}
