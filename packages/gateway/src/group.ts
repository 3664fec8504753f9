import { type EndpointRecord, EndpointRole, EndpointState, type PromotionOrder } from "@medlarledge/protocol";
import {
    Availability,
    chooseForRead,
    type LoadedTarget,
    type Outage,
    type PromotionTimes,
    type ReadChoice,
} from "@medlarledge/routing";
import type { Clock } from "@medlarledge/runtime";
import type { EndpointConnector, LoadReport, LogPosition } from "@medlarledge/statements";
import type { ElapsedClock } from "./elapsed-clock.js";
import type { Eviction } from "./endpoint-pool.js";
import type { GatewayListener } from "./gateway-event.js";
import { GroupBalance } from "./group-balance.js";
import type { GroupCondition } from "./group-condition.js";
import { type FailingChange, GroupEndpoint, type ReachabilityChange } from "./group-endpoint.js";
import { GroupOrders } from "./group-orders.js";
import { GroupState } from "./group-state.js";
import type { PrimaryPermits } from "./primary-permits.js";
import type { RelayClient } from "./relay-client.js";
import type { Route } from "./route.js";

/** An endpoint that answered within this time is not probed for its reachability. */
const RECENT_ANSWER_MS = 50;

export interface GroupOptions {
    readonly name: string;
    readonly dataCentre: string;
    readonly connector: EndpointConnector;
    readonly clock: Clock;
    readonly elapsed: ElapsedClock;
    /** Maximum number of connections that this process may have to an endpoint. */
    readonly share: (record: EndpointRecord) => number;
    readonly relay: RelayClient;
    readonly permits: PrimaryPermits;
    /** Shared by all groups. */
    readonly promotionTimes: PromotionTimes;
    readonly random: () => number;
    /** Whether reads are divided by the reported load of endpoints; see `GatewayOptions`. */
    readonly usesLoadReports: boolean;
    /** See `GatewayOptions.drainMs`. */
    readonly drainMs: number | undefined;
    readonly listener: GatewayListener;
}

export interface PrimaryState {
    readonly endpoint: string;
    /** Latest term in which the endpoint answered as the primary; 0 if this process has had no such answer from it. */
    readonly term: number;
    readonly reachable: boolean;
}

/** The group of endpoints that replicate one database, as one process uses it. */
export class Group {
    readonly #options: GroupOptions;
    readonly #endpoints = new Map<string, GroupEndpoint>();
    readonly #balance: GroupBalance;
    readonly #changeWaiters = new Set<() => void>();
    readonly #primaryAvailability = new Availability();
    readonly #endpointAvailability = new Availability();
    /** The group's primary and positions, as this process observes them. */
    readonly state: GroupState;
    /** Runs orders for the group's endpoints. */
    readonly orders: GroupOrders;

    constructor(options: GroupOptions) {
        this.#options = options;
        const { name: group, clock, elapsed, listener, permits, promotionTimes, relay, random } = options;
        const leaderChanged = (): void => this.#notifyWaiters();
        this.state = new GroupState({ group, clock, elapsed, listener, permits, promotionTimes, leaderChanged });
        const endpoint = (id: string): GroupEndpoint | undefined => this.#endpoints.get(id);
        this.#balance = new GroupBalance(
            random,
            (chosen, reason) => listener({ kind: "chosen", group, endpoint: chosen, reason }),
        );
        const { state } = this;
        const balance = this.#balance;
        this.orders = new GroupOrders({ group, clock, elapsed, relay, permits, random, state, endpoint, balance });
    }

    get name(): string {
        return this.#options.name;
    }

    record(endpoint: string): EndpointRecord | undefined {
        return this.#endpoints.get(endpoint)?.record;
    }

    /** Replaces the endpoints by those of `records`, which lists all that have not left. */
    update(records: readonly EndpointRecord[]): void {
        const ids = new Set(records.map(record => record.id));
        for (const [id, endpoint] of this.#endpoints) {
            if (!ids.has(id)) {
                this.#remove(id, endpoint);
            }
        }
        for (const record of records) {
            this.#updateEndpoint(record);
        }
        this.#notifyWaiters();
    }

    /** Records that control ordered the promotion of an endpoint. */
    ordered(order: PromotionOrder): void {
        this.state.ordered(order);
        this.#notifyWaiters();
    }

    /** The endpoint to use as the primary; undefined while none that can be reached is known. */
    primary(): string | undefined {
        const { confirmedPrimary } = this.state;
        if (
            confirmedPrimary !== undefined && this.#takesNewWork(confirmedPrimary)
            && this.#canUseAsPrimary(confirmedPrimary)
        ) {
            return confirmedPrimary;
        }
        // Without connections of its own, this host learns whether a candidate is the primary from its answers to
        // orders.
        return this.state.candidates()
            .find(id =>
                id !== confirmedPrimary && this.#takesNewWork(id) && this.#needsRelay(id) && this.#canReach(id)
            );
    }

    /**
     * The endpoint that last answered as primary and whether it can be reached. Before the first such answer of a present
     * endpoint it is one that announced itself as the primary: nobody else may know whether that one answers. Undefined
     * where this host cannot tell, as without connections of its own.
     */
    primaryState(): PrimaryState | undefined {
        const confirmed = this.state.lastConfirmation?.endpoint;
        if (confirmed !== undefined && this.#endpoints.has(confirmed)) {
            return this.reachabilityOf(confirmed);
        }
        const announced = [...this.#endpoints.values()].filter(({ record }) => record.role === EndpointRole.Primary);
        const known = announced.filter(endpoint => endpoint.isReachabilityKnown);
        const endpoint = known.find(({ isReachable }) => isReachable) ?? known[0];
        return endpoint === undefined ? undefined : this.reachabilityOf(endpoint.record.id);
    }

    /** Whether this host can reach an endpoint; undefined where it cannot tell. */
    reachabilityOf(id: string): PrimaryState | undefined {
        const endpoint = this.#endpoints.get(id);
        const confirmation = this.state.lastConfirmation;
        return endpoint?.isReachabilityKnown !== true ? undefined : {
            endpoint: id,
            term: confirmation?.endpoint === id ? confirmation.term : 0,
            reachable: endpoint.isReachable,
        };
    }

    /** Snapshot of the group as this process observes it, for logs and metrics. */
    condition(): GroupCondition {
        const now = this.#options.clock.now();
        const confirmation = this.state.lastConfirmation;
        const { lostAt } = this.#primaryAvailability;
        const { orderedAt } = this.state;
        return {
            primary: confirmation
                && { endpoint: confirmation.endpoint, term: confirmation.term, ageMs: now - confirmation.at },
            leaderlessMs: lostAt === undefined ? undefined : now - lostAt,
            orderedMs: orderedAt === undefined ? undefined : now - orderedAt,
            endpoints: [...this.#endpoints.values()].map(endpoint => endpoint.condition(now)),
        };
    }

    /** Probes an endpoint unless it has just answered. */
    async checkPrimary(id: string): Promise<void> {
        const endpoint = this.#endpoints.get(id);
        if (endpoint?.isQuiet(RECENT_ANSWER_MS, this.#options.clock.now()) === true) {
            await this.#probe(endpoint);
        }
    }

    /** Counts the reachable and unreachable endpoints in other data centres to which this host may have connections. */
    remoteReachability(): { readonly reachable: number; readonly unreachable: number; } {
        const remote = this.#remoteEndpoints();
        const reachable = remote.filter(endpoint => endpoint.isReachable).length;
        return { reachable, unreachable: remote.length - reachable };
    }

    /** Probes the reachable endpoints in other data centres that have not just answered. */
    probeRemoteEndpoints(): void {
        for (const endpoint of this.#remoteEndpoints()) {
            if (endpoint.isReachable && endpoint.isQuiet(RECENT_ANSWER_MS, this.#options.clock.now())) {
                void this.#probe(endpoint);
            }
        }
    }

    /** Returns true when only the primary can guarantee that a read is fresh. */
    readNeedsPrimary(route: Route, floor: LogPosition | undefined): boolean {
        return this.state.required(route, floor) === undefined;
    }

    /** Describes the current outage of the primary, or of all endpoints. */
    outage(needsPrimary: boolean): Outage {
        this.#updateAvailability(this.#options.clock.now());
        return {
            lostAt: (needsPrimary ? this.#primaryAvailability : this.#endpointAvailability).lostAt,
            orderedAt: this.state.orderedAt,
            promotionMs: this.#options.promotionTimes.expectedMs,
            hasCandidate: needsPrimary && this.#nextCandidate() !== undefined,
        };
    }

    /** Chooses the endpoint for a read; undefined when none can serve it now. */
    chooseEndpointForRead(
        route: Route,
        floor: LogPosition | undefined,
        tried: ReadonlySet<string>,
    ): ReadChoice | undefined {
        const { clock, random, usesLoadReports } = this.#options;
        const now = clock.now();
        const required = this.state.required(route, floor);
        const primary = this.primary();
        const targets = [...this.#endpoints]
            .filter(([id, endpoint]) => this.#isUsable(endpoint) && !tried.has(id))
            .map(([id, endpoint]): LoadedTarget => ({
                id,
                isPrimary: id === primary,
                isLocal: this.#isLocal(endpoint),
                ...endpoint.loadEstimate(now),
                ...(usesLoadReports ? {} : { expectedMs: endpoint.expectedMs(now) }),
                isExpectedCaughtUp: required === undefined || this.state.mayHaveReached(id, required),
            }));
        return usesLoadReports
            ? this.#balance.choose(required, targets, this.#activeSlots())
            : chooseForRead({ required, targets, random: random() });
    }

    /** The load of an endpoint as this host observes it, for hosts that relay to it; undefined unless reports are on. */
    loadReport(endpoint: string): LoadReport | undefined {
        const { usesLoadReports, clock } = this.#options;
        return usesLoadReports ? this.#endpoints.get(endpoint)?.loadReport(clock.now()) : undefined;
    }

    /** True when a usable replica does not lag: it will soon have reached the position that a read requires now. */
    hasCaughtUpReplica(): boolean {
        const primary = this.primary();
        return [...this.#endpoints].some(([id, endpoint]) =>
            id !== primary && this.#isUsable(endpoint) && !this.state.isLagging(id)
        );
    }

    /** Waits for a change that may allow a request to be served, at most `timeoutMs`. */
    change(timeoutMs: number): Promise<void> {
        return new Promise(resolve => {
            const done = (): void => {
                clearTimeout(timer);
                this.#changeWaiters.delete(done);
                resolve();
            };
            const timer = setTimeout(done, timeoutMs);
            this.#changeWaiters.add(done);
            this.#probeNextCandidate();
        });
    }

    /** Removes all endpoints and closes their pools. */
    close(): void {
        for (const [id, endpoint] of this.#endpoints) {
            this.#remove(id, endpoint);
        }
        this.#notifyWaiters();
    }

    /**
     * Endpoints in other data centres to which this host may have connections. Without those whose time to serve has
     * ended: their end says nothing of the network.
     */
    #remoteEndpoints(): readonly GroupEndpoint[] {
        const now = this.#options.clock.now();
        return [...this.#endpoints.values()].filter(endpoint =>
            endpoint.record.dataCentre !== this.#options.dataCentre && endpoint.share > 0 && endpoint.takesNewWork(now)
        );
    }

    #updateEndpoint(record: EndpointRecord): void {
        const previous = this.#endpoints.get(record.id);
        if (previous !== undefined && !previous.isSameRun(record)) {
            this.#remove(record.id, previous);
        }
        const existing = this.#endpoints.get(record.id);
        if (record.role !== existing?.record.role) {
            this.state.roleAnnounced(record);
        }
        const endpoint = existing ?? this.#add(record);
        endpoint.update(record, this.#options.clock.now());
        if (record.state === EndpointState.Active) {
            endpoint.warmUp();
        }
    }

    #add(record: EndpointRecord): GroupEndpoint {
        const { name, connector, clock, share, permits, drainMs, listener } = this.#options;
        const reachabilityChanged = (change: ReachabilityChange): void => this.#reachabilityChanged(change);
        const evicted = (id: string, eviction: Eviction): void => this.#transactionEvicted(id, eviction);
        const endpoint = new GroupEndpoint(record, {
            connector,
            clock,
            share,
            mayUsePrimary: () => permits.mayUse(name, record.id),
            drainMs,
            reachabilityChanged,
            failingChanged: change => this.#failingChanged(change),
            opening: (id, opening) => listener({ kind: "opening", group: name, endpoint: id, ...opening }),
            evicted,
        });
        this.#endpoints.set(record.id, endpoint);
        return endpoint;
    }

    #remove(id: string, endpoint: GroupEndpoint): void {
        this.#endpoints.delete(id);
        this.state.forget(id);
        this.#balance.forget(id);
        endpoint.close();
    }

    /** True when the endpoint takes new requests: it is not leaving and can be reached. */
    #isUsable({ record }: GroupEndpoint): boolean {
        return record.state === EndpointState.Active && this.#canReach(record.id);
    }

    /** Without load reports an endpoint behind a relay counts as remote, since the time on the way is not measured. */
    #isLocal({ record, isDirectlyReachable }: GroupEndpoint): boolean {
        const { dataCentre, usesLoadReports } = this.#options;
        return record.dataCentre === dataCentre && (usesLoadReports || isDirectlyReachable);
    }

    /** Slots of the endpoints that take new requests. */
    #activeSlots(): number {
        return [...this.#endpoints.values()].reduce(
            (sum, endpoint) => sum + (this.#isUsable(endpoint) ? endpoint.record.slots : 0),
            0,
        );
    }

    #takesNewWork(id: string): boolean {
        return this.#endpoints.get(id)?.takesNewWork(this.#options.clock.now()) === true;
    }

    #needsRelay(id: string): boolean {
        const endpoint = this.#endpoints.get(id);
        return endpoint !== undefined && !endpoint.isDirectlyReachable;
    }

    #canReach(id: string): boolean {
        const endpoint = this.#endpoints.get(id);
        return endpoint !== undefined && (endpoint.isDirectlyReachable || this.#options.relay.canReach(this.name, id));
    }

    /** True when this host, or another one to which it relays, may send the endpoint what only the primary may run. */
    #canUseAsPrimary(id: string): boolean {
        const { permits, relay } = this.#options;
        const mayUse = permits.mayUse(this.name, id);
        return mayUse ? this.#canReach(id) : !permits.isSuperseded(this.name, id) && relay.canReach(this.name, id);
    }

    #transactionEvicted(endpoint: string, { transaction, requestId, idleMs, waiting }: Eviction): void {
        const cause = `its caller was idle in transaction for ${
            Math.round(idleMs)
        } ms while ${waiting} orders waited for a connection`;
        this.#options.listener({ kind: "aborted", group: this.name, endpoint, transaction, requestId, cause });
    }

    #failingChanged(change: FailingChange): void {
        if (this.#options.usesLoadReports) {
            this.#options.listener({ kind: "failing", group: this.name, ...change });
        }
    }

    #reachabilityChanged(change: ReachabilityChange): void {
        this.#options.listener({ kind: "reach", group: this.name, ...change });
        this.#notifyWaiters();
    }

    /** Probes endpoints that leave orders unanswered, and retries unreachable ones. */
    check(): void {
        const now = this.#options.clock.now();
        this.#updateAvailability(now);
        for (const endpoint of this.#endpoints.values()) {
            if (endpoint.maintain(endpoint.record.state === EndpointState.Active, now)) {
                void this.#probe(endpoint);
            }
        }
        if (this.#changeWaiters.size > 0) {
            this.#probeNextCandidate();
        }
    }

    #updateAvailability(now: number): void {
        this.#primaryAvailability.update(this.primary() !== undefined, now);
        this.#endpointAvailability.update(
            [...this.#endpoints.values()].some(endpoint => this.#isUsable(endpoint)),
            now,
        );
    }

    async #probe(endpoint: GroupEndpoint): Promise<void> {
        const sentAt = this.#options.elapsed.now();
        const result = await endpoint.probe();
        if (result !== undefined) {
            this.state.recordProbe(endpoint.record.id, result, sentAt);
        }
    }

    /** While requests wait for a primary, probes the best candidate. */
    #probeNextCandidate(): void {
        const candidate = this.#nextCandidate();
        if (candidate !== undefined) {
            void this.#probe(candidate);
        }
    }

    /** The best candidate for the primary that this host can probe; a confirmed primary needs no probe. */
    #nextCandidate(): GroupEndpoint | undefined {
        return this.state.candidates()
            .filter(id => id !== this.state.confirmedPrimary && this.#takesNewWork(id))
            .map(id => this.#endpoints.get(id))
            .find(endpoint => endpoint?.isDirectlyReachable === true);
    }

    #notifyWaiters(): void {
        this.#updateAvailability(this.#options.clock.now());
        for (const done of [...this.#changeWaiters]) {
            done();
        }
    }
}
