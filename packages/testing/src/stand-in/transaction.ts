import type { Change, Store } from "./store.js";

/** An error of a statement, as the caller sees it. */
export interface SqlError {
    readonly kind: "sqlError";
    readonly sqlstate: string;
    readonly message: string;
}

export function sqlError(sqlstate: string, message: string): SqlError {
    return { kind: "sqlError", sqlstate, message };
}

/**
 * Uncommitted changes above the store. Others do not see them, and dropping the object rolls them back.
 * There are no row locks: a key inserted by two transactions at once fails in the one that commits last.
 */
export class Transaction {
    readonly explicit: boolean;
    readonly readOnly: boolean;
    failed = false;
    readonly #store: Store;
    readonly #changes: Change[] = [];
    readonly #rows = new Map<string, Map<string, { readonly value: string | undefined; } | undefined>>();
    /** Rows that must not exist yet at the commit. */
    readonly #inserted = new Map<string, { readonly table: string; readonly key: string; }>();

    constructor(store: Store, explicit: boolean, readOnly: boolean) {
        this.#store = store;
        this.explicit = explicit;
        this.readOnly = readOnly;
    }

    hasTable(table: string): boolean {
        return this.#store.table(table) !== undefined || this.#rows.has(table);
    }

    get(table: string, key: string): { readonly value: string | undefined; } | undefined {
        const own = this.#rows.get(table);
        return own?.has(key) === true ? own.get(key) : this.#store.table(table)?.get(key);
    }

    /** All rows, in no order. */
    rows(table: string): readonly (readonly [string, string | undefined])[] {
        const merged = new Map<string, { readonly value: string | undefined; } | undefined>(this.#store.table(table));
        this.#rows.get(table)?.forEach((row, key) => merged.set(key, row));
        const rows: (readonly [string, string | undefined])[] = [];
        for (const [key, row] of merged) {
            if (row !== undefined) {
                rows.push([key, row.value]);
            }
        }
        return rows;
    }

    createTable(table: string): void {
        this.#rows.set(table, new Map());
        this.#changes.push({ kind: "create", table });
    }

    put(table: string, key: string, value: string | undefined, isInsert: boolean): void {
        if (isInsert) {
            this.#inserted.set(`${table}\0${key}`, { table, key });
        }
        this.#own(table).set(key, { value });
        this.#changes.push({ kind: "put", table, key, value });
    }

    delete(table: string, key: string): void {
        this.#inserted.delete(`${table}\0${key}`);
        this.#own(table).set(key, undefined);
        this.#changes.push({ kind: "delete", table, key });
    }

    /** Makes the changes permanent; returns them, or the error that rolled them back. */
    takeChanges(): readonly Change[] | SqlError {
        for (const { table, key } of this.#inserted.values()) {
            if (this.#store.table(table)?.has(key) === true) {
                return sqlError("23505", `duplicate key value violates unique constraint "${table}_pkey"`);
            }
        }
        return this.#changes;
    }

    #own(table: string): Map<string, { readonly value: string | undefined; } | undefined> {
        const own = this.#rows.get(table) ?? new Map<string, { readonly value: string | undefined; } | undefined>();
        this.#rows.set(table, own);
        return own;
    }
}
