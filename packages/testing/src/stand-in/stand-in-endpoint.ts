import type { Endpoint } from "@medlarledge/protocol";
import { type AnnouncementSettings, Announcer } from "./announcer.js";
import { type Faults, NO_FAULTS } from "./answer-queue.js";
import type { PasswordSettings } from "./authentication.js";
import { CallerServer } from "./caller-server.js";
import { ControlServer } from "./control-server.js";
import type { ReplicationAddress } from "./replication.js";
import { ServerState } from "./server-state.js";
import type { SlotGate } from "./slot-gate.js";

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
    /** Time from a promotion until the control file shows its timeline, as PostgreSQL's does after a checkpoint. */
    readonly checkpointMs?: number;
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
const LOOPBACK = "127.0.0.1";

/** A database server in memory, with replication and settable faults. It keeps nothing when it ends. */
export class StandInEndpoint {
    readonly #options: StandInOptions;
    readonly #faults: Faults = { ...NO_FAULTS };
    readonly #state: ServerState;
    readonly #callers: CallerServer;
    readonly #control: ControlServer;
    #announcer: Announcer | undefined;
    #port = 0;

    constructor(options: StandInOptions = {}) {
        this.#options = options;
        this.#state = new ServerState({
            id: options.id ?? "stand-in",
            systemIdentifier: options.systemIdentifier ?? "7000000000000000001",
            slots: options.slots ?? 2,
            statementMs: options.statementMs ?? 0,
            lagMs: options.lagMs ?? 0,
            checkpointMs: options.checkpointMs ?? 0,
        });
        this.#control = new ControlServer(this);
        this.#callers = new CallerServer({
            host: this.#state,
            faults: this.#faults,
            connections: options.connections ?? 16,
            connectDelayMs: options.connectDelayMs ?? CONNECT_DELAY_MS,
            authentication: options.authentication,
        });
    }

    /** What it announces, without the sequence. */
    get endpoint(): Omit<Endpoint, "sequence"> {
        return {
            id: this.#state.id,
            database: this.#options.database ?? "stand-in",
            dataCentre: this.#options.dataCentre ?? "local",
            host: this.#host,
            port: this.#port,
            systemIdentifier: this.#state.systemIdentifier,
            slots: this.#state.gate.limit,
            connections: this.#callers.counts.limit,
        };
    }

    get replicationAddress(): ReplicationAddress {
        return { host: this.#host, port: this.#state.replication.port };
    }

    async start(): Promise<void> {
        if (this.#options.follow !== undefined) {
            this.follow(this.#options.follow);
        }
        await this.#state.replication.listen(this.#host, this.#options.replicationPort ?? 0);
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
        this.#announcer?.stop();
        this.#state.end();
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
        this.#state.promote();
    }

    /** Becomes a replica of the primary at this address, and discards what that primary does not have. */
    follow(address: ReplicationAddress): void {
        this.#state.follow(address);
    }

    /** Time from the arrival of a record at this replica until it is visible. */
    setLag(lagMs: number): void {
        this.#state.setLag(lagMs);
    }

    /** Sets faults; sessions continue where none holds them any more. */
    setFaults(faults: Partial<Faults>): void {
        Object.assign(this.#faults, faults);
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
        this.#state.gate.resetCounts();
        this.#callers.resetCounts();
    }

    status(): StandInStatus {
        const { store, gate, replication } = this.#state;
        return {
            id: this.#state.id,
            role: this.#state.isReplica ? "replica" : "primary",
            timeline: store.timeline,
            position: store.position,
            readOnly: this.#state.isReadOnly,
            followers: replication.followers,
            commits: this.#state.commits,
            slots: gate.counts,
            connections: this.#callers.counts,
            port: this.#port,
            replicationPort: replication.port,
            controlPort: this.#control.port,
        };
    }

    /** All rows of a table with the position at which each was written; undefined when there is no such table. */
    rows(table: string): readonly TableRow[] | undefined {
        const rows = this.#state.store.table(table);
        return rows && [...rows].map(([key, row]) => ({ key, value: row.value, position: row.position }));
    }

    get #host(): string {
        return this.#options.host ?? LOOPBACK;
    }
}
