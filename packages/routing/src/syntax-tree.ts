/** Fields of a node of libpg-query's syntax tree. */
export type Fields = Readonly<Record<string, unknown>>;

/** A node of libpg-query's syntax tree. */
export interface TypedNode {
    readonly type: string;
    readonly fields: Fields;
}

/** Splits `{ SelectStmt: { … } }` into node type and fields; undefined for any other value. */
export function typedNode(value: unknown): TypedNode | undefined {
    if (!isFields(value)) {
        return undefined;
    }
    const entry = Object.entries(value)[0];
    return entry !== undefined && isFields(entry[1]) ? { type: entry[0], fields: entry[1] } : undefined;
}

/**
 * Calls back for every object of a tree with the key under which it is stored. Iterative, so that a deeply nested
 * statement cannot overflow the stack.
 */
export function visit(root: unknown, callback: (type: string, fields: Fields) => void): void {
    const pending: (readonly [string, unknown])[] = [["", root]];
    for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
        const [key, value] = next;
        if (Array.isArray(value)) {
            for (const item of value) {
                pending.push([key, item]);
            }
        }
        else if (isFields(value)) {
            callback(key, value);
            pending.push(...Object.entries(value));
        }
    }
}

/** Returns the texts of a list of String nodes, such as a qualified function name. */
export function stringsOf(value: unknown): readonly string[] {
    if (!Array.isArray(value)) {
        return [];
    }
    return value.map(item => textOf(item) ?? "");
}

/** Returns the text of a String or constant node; undefined for other nodes and NULL. */
export function textOf(value: unknown): string | undefined {
    const node = typedNode(value);
    if (node === undefined) {
        return undefined;
    }
    if (node.type === "String") {
        return typeof node.fields["sval"] === "string" ? node.fields["sval"] : "";
    }
    return node.type === "A_Const" ? constantText(node.fields) : undefined;
}

/** Returns the text of a constant. The tree omits fields with their default value (0, false, ""). */
function constantText(fields: Fields): string | undefined {
    if (fields["isnull"] === true) {
        return undefined;
    }
    for (const [key, empty] of [["sval", ""], ["fval", "0"], ["ival", 0], ["boolval", false], ["bsval", ""]] as const) {
        const holder = fields[key];
        if (isFields(holder)) {
            const value: unknown = holder[key] ?? empty;
            return isFields(value) ? undefined : `${value as string | number | boolean}`;
        }
    }
    return undefined;
}

export function isFields(value: unknown): value is Fields {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}
