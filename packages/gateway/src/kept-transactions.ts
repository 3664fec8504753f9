import type { PooledConnection } from "./pooled-connection.js";

/** A caller's transaction and the connection that it keeps between its statements. */
export interface KeptTransaction {
    readonly key: string;
    readonly connection: PooledConnection;
    /** The last request in it. */
    readonly requestId: string;
    /** Since when it rests; undefined while a statement of it runs. */
    readonly restsSince: number | undefined;
}

/** The callers' transactions that are open on the connections of one pool. */
export class KeptTransactions {
    readonly #kept = new Map<string, KeptTransaction>();

    get size(): number {
        return this.#kept.size;
    }

    has(key: string): boolean {
        return this.#kept.has(key);
    }

    connectionOf(key: string): PooledConnection | undefined {
        return this.#kept.get(key)?.connection;
    }

    isKept(connection: PooledConnection): boolean {
        return [...this.#kept.values()].some(transaction => transaction.connection === connection);
    }

    /** A statement of the transaction was answered, and the transaction goes on. */
    rests(key: string, connection: PooledConnection, requestId: string, now: number): void {
        this.#kept.set(key, { key, connection, requestId, restsSince: now });
    }

    /** A statement of the transaction runs. */
    runs(key: string): void {
        const kept = this.#kept.get(key);
        if (kept !== undefined) {
            this.#kept.set(key, { ...kept, restsSince: undefined });
        }
    }

    delete(key: string): void {
        this.#kept.delete(key);
    }

    deleteOn(connection: PooledConnection): void {
        for (const { key, connection: kept } of [...this.#kept.values()]) {
            if (kept === connection) {
                this.#kept.delete(key);
            }
        }
    }

    /** The transaction whose caller has sent nothing for the longest time. */
    longestResting(): (KeptTransaction & { readonly restsSince: number; }) | undefined {
        let longest: (KeptTransaction & { readonly restsSince: number; }) | undefined;
        for (const { restsSince, ...kept } of this.#kept.values()) {
            if (restsSince !== undefined && restsSince < (longest?.restsSince ?? Infinity)) {
                longest = { ...kept, restsSince };
            }
        }
        return longest;
    }
}
