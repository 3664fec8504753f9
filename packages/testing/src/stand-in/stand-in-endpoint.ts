import type { Endpoint } from "@medlarledge/protocol";
import { type AnnouncementSettings, Announcer } from "./announcer.js";
import type { Faults } from "./answer-queue.js";
import type { PasswordSettings } from "./authentication.js";
import { CallerServer } from "./caller-server.js";
import { ControlServer } from "./control-server.js";
import { type ReplicationAddress, ReplicationLink, ReplicationServer } from "./replication.js";
import { SlotGate } from "./slot-gate.js";
import type { RunnerHost } from "./statement-runner.js";
import { Store } from "./store.js";
import { type SqlError, sqlError, type Transaction } from "./transaction.js";

/** All have a default; ports of 0 are chosen by the operating system. */
export interface StandInOptions {
    readonly id?: string;
    readonly database?: string;
    readonly dataCentre?: string;
    readonly host?: string;
    readonly port?: number;
    readonly replicationPort?: number;
    readonly controlPort?: number;
    readonly systemIdentifier?: string;
    readonly slots?: number;
    readonly connections?: number;
    /** 12 ms, the users' figure for a new connection. */
    readonly connectDelayMs?: number;
    /** Time that each statement on tables takes. */
    readonly statementMs?: number;
    readonly lagMs?: number;
    /** Starts as a replica of this primary. */
    readonly follow?: ReplicationAddress;
    readonly announce?: AnnouncementSettings;
    readonly authentication?: PasswordSettings;
}

export interface StandInStatus {
    readonly id: string;
    readonly role: "primary" | "replica";
    readonly timeline: number;
    readonly position: number;
    readonly readOnly: boolean;
    readonly followers: number;
    readonly commits: number;
    readonly slots: SlotGate["counts"];
    readonly connections: CallerServer["counts"];
    readonly port: number;
    readonly replicationPort: number;
    readonly controlPort: number;
}

export interface TableRow {
    readonly key: string;
    readonly value: string | undefined;
    readonly position: number;
}

const CONNECT_DELAY_MS = 12;
const READ_ONLY = "default_transaction_read_only";

/** A database server in memory, with replication and settable faults. It keeps nothing when it ends. */
export class StandInEndpoint {
    readonly faults: Faults = { holdRequests: false, holdAnswers: false, lateMs: 0, cutAnswers: 0 };
    readonly #options: StandInOptions;
    readonly #store = new Store();
    readonly #gate: SlotGate;
    readonly #callers: CallerServer;
    readonly #replication: ReplicationServer;
    readonly #control: ControlServer;
    readonly #settings = new Map<string, string>();
    #announcer: Announcer | undefined;
    #link: ReplicationLink | undefined;
    #lagMs: number;
    #replayPosition: number | undefined;
    #readOnly = false;
    #commits = 0;
    #port = 0;
    #ended = false;

    constructor(options: StandInOptions = {}) {
        this.#options = options;
        this.#lagMs = options.lagMs ?? 0;
        this.#gate = new SlotGate(options.slots ?? 2);
        this.#replication = new ReplicationServer(this.#store, () => !this.isReplica);
        this.#control = new ControlServer(this);
        this.#callers = new CallerServer({
            host: this.#runnerHost(),
            faults: this.faults,
            connections: options.connections ?? 16,
            connectDelayMs: options.connectDelayMs ?? CONNECT_DELAY_MS,
            authentication: options.authentication,
        });
    }

    get isReplica(): boolean {
        return this.#link !== undefined;
    }

    /** What it announces, without the sequence. */
    get endpoint(): Omit<Endpoint, "sequence"> {
        return {
            id: this.#options.id ?? "stand-in",
            database: this.#options.database ?? "stand-in",
            dataCentre: this.#options.dataCentre ?? "local",
            host: this.#host,
            port: this.#port,
            systemIdentifier: this.#options.systemIdentifier ?? "7000000000000000001",
            slots: this.#gate.limit,
            connections: this.#options.connections ?? 16,
        };
    }

    get replicationAddress(): ReplicationAddress {
        return { host: this.#host, port: this.#replication.port };
    }

    async start(): Promise<void> {
        if (this.#options.follow !== undefined) {
            this.follow(this.#options.follow);
        }
        await this.#replication.listen(this.#host, this.#options.replicationPort ?? 0);
        await this.#control.listen(this.#host, this.#options.controlPort ?? 0);
        await this.#callers.listen(this.#host, this.#options.port ?? 0);
        this.#port = this.#callers.port;
        if (this.#options.announce !== undefined) {
            this.#announcer = new Announcer(this.#options.announce, this.endpoint);
            this.#announcer.start();
        }
    }

    /** Ends at once, as after a kill: nothing is sent, nothing commits any more. */
    crash(): void {
        this.#ended = true;
        this.#announcer?.stop();
        this.#link?.stop();
        this.#replication.close();
        this.#callers.stopListening();
        this.#callers.cancelAll();
        this.#callers.closeConnections();
        this.#control.close();
    }

    /** Announces that it leaves, and keeps serving. */
    leave(): Promise<boolean> {
        return this.#announcer?.leave() ?? Promise.resolve(false);
    }

    /** Begins a new timeline; a primary stays as it is. */
    promote(): void {
        if (this.#link === undefined) {
            return;
        }
        this.#link.stop();
        this.#link = undefined;
        this.#replayPosition = this.#store.position;
        this.#store.beginTimeline(`${this.endpoint.id}@${Date.now()}`);
    }

    /** Becomes a replica of the primary at this address, and discards what that primary does not have. */
    follow(address: ReplicationAddress): void {
        this.#link?.stop();
        this.#link = new ReplicationLink(this.#store, address, () => this.#lagMs);
        this.#replication.disconnect();
    }

    setLag(lagMs: number): void {
        this.#lagMs = lagMs;
        this.#link?.apply();
    }

    /** Sets faults; sessions continue where none holds them any more. */
    setFaults(faults: Partial<Faults>): void {
        Object.assign(this.faults, faults);
        this.#callers.pump();
    }

    closeConnections(): void {
        this.#callers.closeConnections();
    }

    async refuseConnections(refuse: boolean): Promise<void> {
        if (refuse) {
            this.#callers.stopListening();
        }
        else if (this.#callers.port === 0) {
            await this.#callers.listen(this.#host, this.#port);
        }
    }

    resetCounts(): void {
        this.#gate.resetCounts();
        this.#callers.resetCounts();
    }

    status(): StandInStatus {
        return {
            id: this.endpoint.id,
            role: this.isReplica ? "replica" : "primary",
            timeline: this.#store.timeline,
            position: this.#store.position,
            readOnly: this.#readOnly,
            followers: this.#replication.followers,
            commits: this.#commits,
            slots: this.#gate.counts,
            connections: this.#callers.counts,
            port: this.#port,
            replicationPort: this.#replication.port,
            controlPort: this.#control.port,
        };
    }

    /** All rows of a table with the position at which each was written; undefined when there is no such table. */
    rows(table: string): readonly TableRow[] | undefined {
        const rows = this.#store.table(table);
        return rows && [...rows].map(([key, row]) => ({ key, value: row.value, position: row.position }));
    }

    get #host(): string {
        return this.#options.host ?? "127.0.0.1";
    }

    #commit(transaction: Transaction): SqlError | undefined {
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
        this.#replication.publish(this.#store.commit(changes));
        return undefined;
    }

    #runnerHost(): RunnerHost {
        // eslint-disable-next-line @typescript-eslint/no-this-alias -- accessors of the object need the endpoint
        const owner = this;
        return {
            store: this.#store,
            gate: this.#gate,
            statementMs: this.#options.statementMs ?? 0,
            systemIdentifier: this.endpoint.systemIdentifier,
            get isReplica() {
                return owner.isReplica;
            },
            get isReadOnly() {
                return owner.#readOnly;
            },
            get position() {
                return owner.#store.position;
            },
            get replayPosition() {
                return owner.isReplica ? owner.#store.position : owner.#replayPosition;
            },
            get timeline() {
                return owner.#store.timeline;
            },
            commit: (transaction) => this.#commit(transaction),
            promote: () => this.promote(),
            setPending: (name, value) => this.#settings.set(name, value),
            reload: () => {
                this.#readOnly = this.#settings.get(READ_ONLY) === "on";
            },
        };
    }
}
