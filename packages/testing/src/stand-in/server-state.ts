import { locate, REPLICATION_PORT } from "./conninfo.js";
import { type Locate, type ReplicationAddress, ReplicationLink, ReplicationServer } from "./replication.js";
import { SlotGate } from "./slot-gate.js";
import { Store } from "./store.js";
import { type SqlError, sqlError, type Transaction } from "./transaction.js";

const READ_ONLY = "default_transaction_read_only";
const CONNINFO = "primary_conninfo";

/** What the statements of an endpoint read and change: its store, role and settings. */
export class ServerState {
    readonly store = new Store();
    readonly gate: SlotGate;
    readonly replication: ReplicationServer;
    readonly id: string;
    readonly systemIdentifier: string;
    /** Time that each statement on tables takes, in ms. */
    readonly statementMs: number;
    readonly #checkpointMs: number;
    readonly #settings = new Map<string, string>();
    #link: ReplicationLink | undefined;
    #lagMs: number;
    #promotedAt: number | undefined;
    #readOnly = false;
    /** In force, that is as of the last reload. */
    #conninfo = "";
    #timelineDelay: { readonly timeline: number; readonly until: number; } | undefined;
    #ended = false;
    #commits = 0;

    constructor(
        options: {
            readonly id: string;
            readonly systemIdentifier: string;
            readonly slots: number;
            readonly statementMs: number;
            readonly lagMs: number;
            readonly checkpointMs: number;
        },
    ) {
        this.id = options.id;
        this.systemIdentifier = options.systemIdentifier;
        this.statementMs = options.statementMs;
        this.gate = new SlotGate(options.slots);
        this.replication = new ReplicationServer(this.store, () => !this.isReplica);
        this.#lagMs = options.lagMs;
        this.#checkpointMs = options.checkpointMs;
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

    /** Timeline of the last checkpoint, which lags behind after a promotion. */
    get checkpointTimeline(): number {
        const delay = this.#timelineDelay;
        return delay !== undefined && performance.now() < delay.until ? delay.timeline : this.store.timeline;
    }

    /** Value of a setting of the server; undefined when a session may have one of this name. */
    show(name: string): string | undefined {
        switch (name) {
            case "transaction_read_only":
            case READ_ONLY:
                return this.#readOnly || this.isReplica ? "on" : "off";
            case CONNINFO:
                return this.#conninfo;
            case REPLICATION_PORT:
                return String(this.replication.port);
            default:
                return undefined;
        }
    }

    /** Begins a new timeline; a primary stays as it is. */
    promote(): void {
        if (this.#link !== undefined) {
            this.#link.stop();
            this.#link = undefined;
            this.#promotedAt = this.store.position;
            this.#timelineDelay = {
                timeline: this.store.timeline,
                until: performance.now() + this.#checkpointMs,
            };
            this.store.beginTimeline(`${this.id}@${Date.now()}`);
        }
    }

    /** Becomes a replica of the primary at this address, and discards what that primary does not have. */
    follow(address: ReplicationAddress): void {
        // An earlier setting must not take effect at a later reload.
        this.#settings.delete(CONNINFO);
        this.#conninfo = "";
        this.#replicate(() => Promise.resolve(address));
    }

    setLag(lagMs: number): void {
        this.#lagMs = lagMs;
        this.#link?.apply();
    }

    /** Keeps a value of ALTER SYSTEM until `reload`; undefined resets it. */
    setPending(name: string, value: string | undefined): void {
        if (value === undefined) {
            this.#settings.delete(name);
        }
        else {
            this.#settings.set(name, value);
        }
    }

    reload(): void {
        this.#readOnly = this.#settings.get(READ_ONLY) === "on";
        const conninfo = this.#settings.get(CONNINFO) ?? "";
        const changed = conninfo !== this.#conninfo;
        this.#conninfo = conninfo;
        if (changed && conninfo !== "" && this.isReplica) {
            this.#replicate(() => locate(conninfo));
        }
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

    #replicate(find: Locate): void {
        this.#link?.stop();
        this.#link = new ReplicationLink(this.store, find, () => this.#lagMs);
        this.replication.disconnect();
    }

    /** Nothing commits any more. */
    end(): void {
        this.#ended = true;
        this.#link?.stop();
        this.replication.close();
    }
}
