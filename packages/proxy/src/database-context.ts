import type { DatabaseView, Endpoint, Position, RegisteredEndpoint, Term } from "@medlarledge/protocol";
import { EndpointState } from "@medlarledge/protocol";
import { AcknowledgementGate } from "./acknowledgement-gate.js";
import { EndpointProber } from "./endpoint-prober.js";
import { endpointProbe as endpointProbe, primaryPosition, replicaPosition } from "./messages.js";
import type { PositionQueryResult } from "./messages.js";
import { Pool } from "./pool.js";
import type { Candidate, DatabaseSettings, EndpointHealth, ProxyDependencies, RetryBudget } from "./ports.js";
import type { DatabaseSource, EndpointConnector, ProxyEvents, Schedule } from "./ports.js";
import { PositionQuery } from "./position-query.js";
import type { PositionQueryCallback } from "./position-query.js";
import { PositionTracker } from "./position-tracker.js";
import { ReplicaAcknowledgement } from "./replica-acknowledgement.js";
import { SharedPositionQuery } from "./shared-position-query.js";

/** Timeout of a position query, three probe intervals long: three missed probes count as silence. */
const POSITION_QUERY_TIMEOUT_MS = 300;

/** Dependencies that all databases of one process share. */
export interface Environment {
    readonly source: DatabaseSource;
    readonly connector: EndpointConnector;
    readonly clock: () => number;
    readonly schedule: Schedule;
    readonly events: ProxyEvents;
    readonly dependencies: ProxyDependencies;
}

/** A request that has not been sent and may need another endpoint when the view changes. */
export interface WaitingRequest {
    viewChanged(): void;
    /** Called only while in `waitingForPosition`. */
    positionChanged(): void;
}

/** The pools, known positions and held responses of one database. */
export class DatabaseContext {
    readonly name: string;
    readonly environment: Environment;
    readonly positions: PositionTracker;
    readonly acknowledgementGate: AcknowledgementGate;
    readonly replicas: ReplicaAcknowledgement;
    readonly retries: RetryBudget;
    readonly health: EndpointHealth;
    readonly primaryPosition: SharedPositionQuery;
    /** Requests that wait for a view, a connection or an endpoint. */
    readonly waiting = new Set<WaitingRequest>();
    /** The subset of `waiting` that the router lets wait for a replica to catch up. */
    readonly waitingForPosition = new Set<WaitingRequest>();
    readonly #pools = new Map<string, Pool>();
    readonly #pendingReplicaQueries = new Set<string>();
    readonly #prober: EndpointProber;
    #view: DatabaseView | undefined;
    #closed = false;

    constructor(name: string, environment: Environment) {
        this.name = name;
        this.environment = environment;
        this.positions = new PositionTracker(
            environment.dependencies.primaryPositions(),
            environment.dependencies.replicaPositions(),
        );
        this.retries = environment.dependencies.retryBudget(name);
        this.health = environment.dependencies.health(name);
        this.acknowledgementGate = new AcknowledgementGate(
            term => environment.source.mayAcknowledge(name, term),
            () => this.term(),
        );
        this.replicas = new ReplicaAcknowledgement(() => {
            this.#queryReplicas();
        }, environment.schedule);
        this.primaryPosition = new SharedPositionQuery((sent, done) => {
            this.#queryPrimary(sent, done);
        });
        this.#prober = new EndpointProber({
            pools: this.#pools,
            positions: this.positions,
            clock: environment.clock,
            schedule: environment.schedule,
            read: (endpoint, done) => this.#startPositionQuery(endpoint, endpointProbe, () => undefined, done),
            stalled: (pool, forMs) => {
                environment.events.stalled(pool.endpoint, forMs);
            },
            silent: (pool, forMs) => {
                environment.events.silent(pool.endpoint, forMs);
                this.health.failed(pool.endpoint.id, environment.clock());
            },
        });
        this.changed();
    }

    view(): DatabaseView | undefined {
        return this.#view;
    }

    settings(): DatabaseSettings | undefined {
        return this.environment.source.settings(this.name);
    }

    /** The latest term that has begun. */
    term(): Term | undefined {
        return this.#view?.terms.at(-1)?.term;
    }

    /** The primary's id, once its term has started. */
    primary(): string | undefined {
        const last = this.#view?.terms.at(-1);
        return last?.start === undefined ? undefined : last.primary;
    }

    pool(endpoint: string): Pool | undefined {
        return this.#pools.get(endpoint);
    }

    pools(): IterableIterator<Pool> {
        return this.#pools.values();
    }

    candidates(now: number): readonly Candidate[] {
        const primary = this.primary();
        const candidates: Candidate[] = [];
        for (const endpoint of this.#view?.endpoints ?? []) {
            const pool = this.#pools.get(endpoint.id);
            if (endpoint.state !== EndpointState.Active || pool === undefined) {
                continue;
            }
            const replica = this.positions.replica(endpoint.id);
            const isPrimary = endpoint.id === primary;
            candidates.push({
                endpoint,
                role: isPrimary ? "primary" : "replica",
                sameDataCentre: this.environment.source.sameDataCentre(endpoint),
                timeline: replica?.timeline,
                knownPosition: isPrimary ? this.positions.primary.latest() : replica?.position,
                knownAt: isPrimary ? this.positions.queriedAt(endpoint.id) : replica?.at,
                inFlight: pool.inFlight(),
                health: this.health.state(endpoint.id, now),
                lagMs: replica?.lagMs,
            });
        }
        return candidates;
    }

    /** This host currently holds a valid lease for the current term. */
    leaseValid(): boolean {
        const term = this.term();
        return term !== undefined && this.environment.source.mayAcknowledge(this.name, term);
    }

    /** Records a position that an endpoint returned, and wakes the writes and reads that wait for it. */
    observe(endpoint: string, position: Position, sentAt: number, term: Term, timeline?: number): void {
        if (term !== this.term()) {
            return;
        }
        if (endpoint === this.primary()) {
            this.positions.observePrimary(
                endpoint,
                term,
                position,
                sentAt,
                this.environment.clock(),
                this.leaseValid(),
            );
            return;
        }
        const knownTimeline = this.positions.observeReplica(
            endpoint,
            position,
            sentAt,
            this.environment.clock(),
            timeline,
        );
        if (knownTimeline !== undefined && knownTimeline === this.#view?.terms.at(-1)?.timeline) {
            this.replicas.observe(position, term);
        }
        if (this.waitingForPosition.size > 0) {
            for (const request of [...this.waitingForPosition]) {
                request.positionChanged();
            }
        }
    }

    /** Applies a change of the view, the settings or a lease to pools, held responses and waiting requests. */
    changed(): void {
        if (this.#closed) {
            return;
        }
        const view = this.environment.source.view(this.name);
        if (view !== this.#view) {
            const formerPrimary = this.primary();
            this.#view = view;
            this.#updatePools(view?.endpoints ?? []);
            if (this.primary() !== formerPrimary) {
                // Replicas are used again only once a probe has shown that they follow the new timeline.
                this.#prober.probe(0);
            }
        }
        for (const pool of this.#pools.values()) {
            pool.updateSlots();
        }
        this.acknowledgementGate.changed();
        for (const request of [...this.waiting]) {
            if (this.waiting.has(request)) {
                request.viewChanged();
            }
        }
    }

    close(): void {
        this.#closed = true;
        this.#prober.stop();
        this.replicas.stop();
        for (const pool of this.#pools.values()) {
            pool.close();
        }
    }

    #updatePools(endpoints: readonly RegisteredEndpoint[]): void {
        this.health.setEndpoints(endpoints.map(endpoint => endpoint.id));
        const active = new Map(
            endpoints.filter(item => item.state === EndpointState.Active).map(item => [item.id, item]),
        );
        for (const [id, pool] of this.#pools) {
            const endpoint = active.get(id);
            if (endpoint === undefined || !isSameServer(endpoint, pool.endpoint)) {
                this.#pools.delete(id);
                this.positions.forget(id);
                pool.leave();
            }
        }
        for (const endpoint of active.values()) {
            if (!this.#pools.has(endpoint.id)) {
                const pool = this.#createPool(endpoint);
                this.#pools.set(endpoint.id, pool);
                pool.openMissing();
            }
        }
    }

    #createPool(endpoint: RegisteredEndpoint): Pool {
        const { connector, clock, schedule, source, events, dependencies } = this.environment;
        return new Pool({
            endpoint,
            connector,
            clock,
            schedule,
            admission: dependencies.admission(endpoint),
            slots: () => source.slots(endpoint),
            limit: () => source.connectionShare(endpoint),
            onClosed: reason => {
                this.health.failed(endpoint.id, clock());
                events.closed(endpoint, reason);
            },
            onAnswered: latencyMs => {
                this.health.answered(endpoint.id, latencyMs, clock());
                events.answered(endpoint, latencyMs);
            },
            onSlotsWanted: (wanted, running) => {
                events.slotsWanted(endpoint, wanted, running);
            },
        });
    }

    /** Starts one position query over the endpoint's pool. Returns false when there is no such pool or no term. */
    #startPositionQuery(endpoint: string, query: Uint8Array, sent: () => void, done: PositionQueryCallback): boolean {
        const pool = this.#pools.get(endpoint);
        const term = this.term();
        if (pool === undefined || term === undefined) {
            return false;
        }
        const { clock, schedule } = this.environment;
        const positionQuery = new PositionQuery(query, clock, sent, (result, sentAt) => {
            cancel();
            if (result !== undefined && this.#isExpectedServer(pool.endpoint, result)) {
                this.observe(endpoint, result.position, sentAt, term, result.timeline);
            }
            done(result, sentAt);
        });
        const cancel = schedule(POSITION_QUERY_TIMEOUT_MS, () => {
            positionQuery.cancel();
        });
        pool.acquireForPositionQuery(positionQuery);
        return true;
    }

    /** Whether the result comes from the expected server in its expected role; any other result must be ignored. */
    #isExpectedServer(endpoint: Endpoint, result: PositionQueryResult): boolean {
        const { inRecovery, systemIdentifier } = result;
        return (inRecovery === undefined || inRecovery === (endpoint.id !== this.primary()))
            && (systemIdentifier === undefined || systemIdentifier === endpoint.systemIdentifier);
    }

    #queryPrimary(sent: () => void, done: (position: Position | undefined) => void): void {
        const primary = this.primary();
        const term = this.term();
        const started = primary !== undefined && this.#startPositionQuery(primary, primaryPosition, sent, result => {
            // Without a lease the endpoint may be a former primary, whose position is behind.
            done(this.term() === term && this.leaseValid() ? result?.position : undefined);
        });
        if (!started) {
            // Asynchronous, so that a listener that queries again does not recurse.
            this.environment.schedule(0, () => {
                done(undefined);
            });
        }
    }

    #queryReplicas(): void {
        for (const id of this.#pools.keys()) {
            if (id === this.primary() || this.#pendingReplicaQueries.has(id)) {
                continue;
            }
            this.#pendingReplicaQueries.add(id);
            // A replica whose known timeline is not the current one needs the full probe, which returns its timeline.
            const current = this.positions.replica(id)?.timeline === this.#view?.terms.at(-1)?.timeline;
            const query = current ? replicaPosition : endpointProbe;
            const started = this.#startPositionQuery(id, query, () => undefined, () => {
                this.#pendingReplicaQueries.delete(id);
            });
            if (!started) {
                this.#pendingReplicaQueries.delete(id);
            }
        }
    }
}

function isSameServer(left: Endpoint, right: Endpoint): boolean {
    return left.host === right.host && left.port === right.port && left.systemIdentifier === right.systemIdentifier;
}
