import { DecayingCount } from "@medlarledge/routing";
import type { StatementOrder } from "@medlarledge/statements";
import type { PooledConnection } from "./pooled-connection.js";

/** A connection that was used once counts less than this after one half-life, or earlier if it was never used. */
const MIN_PROTECTED_VALUE = 0.5;

/** In whose name a connection is opened; undefined for the proxy itself. */
export type ConnectionOwner = StatementOrder["customer"];

/** The idle connections of a pool, by owner. The value of a connection is how often and how recently it was used. */
export class IdleConnections {
    readonly #byOwner = new Map<ConnectionOwner, PooledConnection[]>();
    /** Time at which each connection became idle, in that order. */
    readonly #idleSince = new Map<PooledConnection, number>();
    readonly #uses = new WeakMap<PooledConnection, DecayingCount>();

    get size(): number {
        return this.#idleSince.size;
    }

    /** The idle connections with the time since which they are idle, longest first. */
    entries(): readonly (readonly [PooledConnection, number])[] {
        return [...this.#idleSince];
    }

    has(connection: PooledConnection): boolean {
        return this.#idleSince.has(connection);
    }

    isOwned(owner: ConnectionOwner): boolean {
        return this.#byOwner.has(owner);
    }

    add(connection: PooledConnection, now: number): void {
        const { owner } = connection;
        this.#idleSince.set(connection, now);
        this.#byOwner.set(owner, [...this.#byOwner.get(owner) ?? [], connection]);
    }

    remove(connection: PooledConnection): void {
        if (this.#idleSince.delete(connection)) {
            const others = (this.#byOwner.get(connection.owner) ?? []).filter(other => other !== connection);
            if (others.length > 0) {
                this.#byOwner.set(connection.owner, others);
            }
            else {
                this.#byOwner.delete(connection.owner);
            }
        }
    }

    /**
     * Takes a connection of an owner: one with these session values where possible, which saves a reset, and otherwise
     * the one used last, so that surplus connections keep a low value.
     */
    take(owner: ConnectionOwner, values: StatementOrder["values"], now: number): PooledConnection | undefined {
        const owned = this.#byOwner.get(owner) ?? [];
        const connection = owned.findLast(other => other.hasValues(values)) ?? owned.at(-1);
        if (connection !== undefined) {
            this.remove(connection);
            this.#usesOf(connection).add(now);
        }
        return connection;
    }

    /** Takes the connection used last, whoever owns it; its value stays as it is. */
    takeAny(): PooledConnection | undefined {
        const connection = [...this.#idleSince.keys()].at(-1);
        if (connection !== undefined) {
            this.remove(connection);
        }
        return connection;
    }

    /**
     * The connection whose loss costs least; of equal ones the one that has been idle for longest. Connections in
     * recent use of an owner for whom `isProtected` holds are left out.
     */
    leastValuable(now: number, isProtected: (owner: ConnectionOwner) => boolean): PooledConnection | undefined {
        let least: PooledConnection | undefined;
        let leastValue = Infinity;
        for (const connection of this.#idleSince.keys()) {
            const value = this.#usesOf(connection).value(now);
            const mayReplace = value < MIN_PROTECTED_VALUE || !isProtected(connection.owner);
            if (value < leastValue && mayReplace) {
                least = connection;
                leastValue = value;
            }
        }
        return least;
    }

    #usesOf(connection: PooledConnection): DecayingCount {
        let uses = this.#uses.get(connection);
        if (uses === undefined) {
            uses = new DecayingCount();
            this.#uses.set(connection, uses);
        }
        return uses;
    }
}
