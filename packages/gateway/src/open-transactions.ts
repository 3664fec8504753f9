import type { PooledConnection } from "./pooled-connection.js";

/** An open transaction of a caller and the connection that is reserved for it between its statements. */
export interface OpenTransaction {
    readonly key: string;
    readonly connection: PooledConnection;
    /** Id of its latest request. */
    readonly requestId: string;
    /** When it became idle in transaction, in ms; undefined while one of its statements runs. */
    readonly idleSince: number | undefined;
}

/** The open transactions of callers on the connections of one pool, by transaction key. */
export class OpenTransactions {
    readonly #transactions = new Map<string, OpenTransaction>();

    get size(): number {
        return this.#transactions.size;
    }

    has(key: string): boolean {
        return this.#transactions.has(key);
    }

    connectionOf(key: string): PooledConnection | undefined {
        return this.#transactions.get(key)?.connection;
    }

    /** Returns true when the connection is reserved for an open transaction. */
    isReserved(connection: PooledConnection): boolean {
        return [...this.#transactions.values()].some(transaction => transaction.connection === connection);
    }

    /** Records that a statement of the transaction was answered and the transaction stays open. */
    markIdle(key: string, connection: PooledConnection, requestId: string, now: number): void {
        this.#transactions.set(key, { key, connection, requestId, idleSince: now });
    }

    /** Records that a statement of the transaction runs. */
    markRunning(key: string): void {
        const transaction = this.#transactions.get(key);
        if (transaction !== undefined) {
            this.#transactions.set(key, { ...transaction, idleSince: undefined });
        }
    }

    delete(key: string): void {
        this.#transactions.delete(key);
    }

    deleteByConnection(connection: PooledConnection): void {
        for (const { key, connection: reserved } of [...this.#transactions.values()]) {
            if (reserved === connection) {
                this.#transactions.delete(key);
            }
        }
    }

    /** Returns the transaction that has been idle for the longest time; undefined when none is idle. */
    longestIdle(): (OpenTransaction & { readonly idleSince: number; }) | undefined {
        let longest: (OpenTransaction & { readonly idleSince: number; }) | undefined;
        for (const { idleSince, ...transaction } of this.#transactions.values()) {
            if (idleSince !== undefined && idleSince < (longest?.idleSince ?? Infinity)) {
                longest = { ...transaction, idleSince };
            }
        }
        return longest;
    }
}
