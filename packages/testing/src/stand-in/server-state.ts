import { type ReplicationAddress, ReplicationLink, ReplicationServer } from "./replication.js";
import { SlotGate } from "./slot-gate.js";
import { Store } from "./store.js";
import { type SqlError, sqlError, type Transaction } from "./transaction.js";

const READ_ONLY = "default_transaction_read_only";

/** What the statements of an endpoint read and change: its store, role and settings. */
export class ServerState {
    readonly store = new Store();
    readonly gate: SlotGate;
    readonly replication: ReplicationServer;
    readonly id: string;
    readonly systemIdentifier: string;
    /** Time that each statement on tables takes, in ms. */
    readonly statementMs: number;
    readonly #settings = new Map<string, string>();
    #link: ReplicationLink | undefined;
    #lagMs: number;
    #promotedAt: number | undefined;
    #readOnly = false;
    #ended = false;
    #commits = 0;

    constructor(
        options: {
            readonly id: string;
            readonly systemIdentifier: string;
            readonly slots: number;
            readonly statementMs: number;
            readonly lagMs: number;
        },
    ) {
        this.id = options.id;
        this.systemIdentifier = options.systemIdentifier;
        this.statementMs = options.statementMs;
        this.gate = new SlotGate(options.slots);
        this.replication = new ReplicationServer(this.store, () => !this.isReplica);
        this.#lagMs = options.lagMs;
    }

    get isReplica(): boolean {
        return this.#link !== undefined;
    }

    /** New transactions are read-only. */
    get isReadOnly(): boolean {
        return this.#readOnly;
    }

    get commits(): number {
        return this.#commits;
    }

    /** Undefined on an endpoint that never was a replica; fixed after a promotion. */
    get replayPosition(): number | undefined {
        return this.isReplica ? this.store.position : this.#promotedAt;
    }

    /** Begins a new timeline; a primary stays as it is. */
    promote(): void {
        if (this.#link !== undefined) {
            this.#link.stop();
            this.#link = undefined;
            this.#promotedAt = this.store.position;
            this.store.beginTimeline(`${this.id}@${Date.now()}`);
        }
    }

    /** Becomes a replica of the primary at this address, and discards what that primary does not have. */
    follow(address: ReplicationAddress): void {
        this.#link?.stop();
        this.#link = new ReplicationLink(this.store, address, () => this.#lagMs);
        this.replication.disconnect();
    }

    setLag(lagMs: number): void {
        this.#lagMs = lagMs;
        this.#link?.apply();
    }

    /** Keeps a value of ALTER SYSTEM until `reload`. */
    setPending(name: string, value: string): void {
        this.#settings.set(name, value);
    }

    reload(): void {
        this.#readOnly = this.#settings.get(READ_ONLY) === "on";
    }

    /** Makes a transaction permanent and replicates it, or returns the error that rolled it back. */
    commit(transaction: Transaction): SqlError | undefined {
        const changes = transaction.takeChanges();
        if ("kind" in changes) {
            return changes;
        }
        if (changes.length === 0) {
            return undefined;
        }
        if (this.isReplica || this.#ended) {
            return sqlError("25006", "the endpoint became a replica during the transaction");
        }
        this.#commits++;
        this.replication.publish(this.store.commit(changes));
        return undefined;
    }

    /** Nothing commits any more. */
    end(): void {
        this.#ended = true;
        this.#link?.stop();
        this.replication.close();
    }
}
