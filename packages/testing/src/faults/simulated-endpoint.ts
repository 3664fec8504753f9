import type { Endpoint, EndpointProbeResult } from "@medlarledge/protocol";
import type { HistoryEvent } from "./history.js";
import type { SimulatedNetwork } from "./simulated-network.js";
import { SimulatedSession } from "./simulated-session.js";
import type { SimulatedTime } from "./simulated-time.js";

/** Bytes of log for each transaction. */
const ENTRY_BYTES = 16;
const FIRST_POSITION = 128;
const REPLICATION_MS = 3;

interface Transaction {
    readonly rows: readonly string[];
    readonly at: number;
}

/** What an endpoint needs of the world around it. */
export interface EndpointWorld {
    readonly time: SimulatedTime;
    readonly network: SimulatedNetwork;
    readonly record: (event: HistoryEvent) => void;
    readonly reach: (trigger: string) => void;
    readonly endpoint: (id: string) => SimulatedEndpoint | undefined;
}

/** A database server with a log and asynchronous replication. Its log survives the end of its process. */
export class SimulatedEndpoint {
    alive = true;
    paused = false;
    readOnly = false;
    timeline = 1;
    /** Replays only what is older than this, in ms. */
    lagMs = 2;
    statementMs = 0.3;
    /** Closes the next connection that answers a write, in the middle of the answer. */
    closeInAnswer = false;
    leaving = false;
    startedAt = 0;
    upstream: string | undefined;
    readonly log: Transaction[] = [];
    readonly sessions = new Set<SimulatedSession>();
    #processIds = 0;

    constructor(readonly world: EndpointWorld, public description: Endpoint, upstream: string | undefined) {
        this.upstream = upstream;
        this.world.time.at(REPLICATION_MS, () => this.#replicate());
    }

    get id(): string {
        return this.description.id;
    }

    get isReplica(): boolean {
        return this.upstream !== undefined;
    }

    get position(): number {
        return FIRST_POSITION + this.log.length * ENTRY_BYTES;
    }

    get rows(): readonly string[] {
        return this.log.flatMap(transaction => transaction.rows);
    }

    reading(): EndpointProbeResult {
        const { position, timeline } = this;
        const role = this.isReplica ? "replica" : "primary";
        return { role, timeline, position, systemIdentifier: this.description.systemIdentifier };
    }

    commit(rows: readonly string[]): void {
        this.log.push({ rows, at: this.world.time.now });
        this.world.record({ kind: "committed", at: this.world.time.now, endpoint: this.id, rows });
    }

    /** Returns the reading at which the new timeline begins. */
    promote(): EndpointProbeResult {
        if (this.isReplica) {
            this.upstream = undefined;
            this.readOnly = false;
            this.timeline += 1;
            this.startedAt = this.position;
        }
        return { ...this.reading(), position: this.startedAt === 0 ? this.position : this.startedAt };
    }

    follow(primary: string): void {
        if (this.isReplica) {
            this.upstream = primary;
        }
    }

    /** An operator copies the primary anew and starts it as its replica. */
    rebuild(primary: SimulatedEndpoint): void {
        this.end();
        this.log.length = 0;
        this.log.push(...primary.log);
        this.timeline = primary.timeline;
        this.startedAt = 0;
        this.readOnly = false;
        this.upstream = primary.id;
        this.start();
    }

    connect(host: string): SimulatedSession {
        const session = new SimulatedSession(this, host, ++this.#processIds);
        this.sessions.add(session);
        return session;
    }

    end(): void {
        this.alive = false;
        [...this.sessions].forEach(session => session.end());
    }

    start(): void {
        this.alive = true;
        this.paused = false;
    }

    /** Replays what the upstream's log holds; a log that continues on another timeline cannot be replayed. */
    #replicate(): void {
        this.world.time.at(REPLICATION_MS, () => this.#replicate());
        const upstream = this.upstream === undefined ? undefined : this.world.endpoint(this.upstream);
        const usable = upstream?.alive === true && !upstream.paused && this.alive && !this.paused
            && this.world.network.reaches(this.id, upstream.id);
        if (!usable || upstream.timeline < this.timeline) {
            return;
        }
        if (upstream.timeline > this.timeline && this.position > upstream.startedAt) {
            return;
        }
        this.timeline = upstream.timeline;
        const until = this.world.time.now - this.lagMs;
        for (const next of upstream.log.slice(this.log.length)) {
            if (next.at > until) {
                break;
            }
            this.log.push(next);
        }
    }
}
