import { type EndpointRecord, EndpointState, type PromotionOrder } from "@medlarledge/protocol";
import { Availability, chooseForRead, type Outage, type ReadChoice, type ReadTarget } from "@medlarledge/routing";
import type { Clock } from "@medlarledge/runtime";
import type { EndpointConnector, LogPosition } from "@medlarledge/statements";
import type { ElapsedClock } from "./elapsed-clock.js";
import type { Eviction } from "./endpoint-pool.js";
import type { GatewayListener } from "./gateway-event.js";
import type { GroupCondition } from "./group-condition.js";
import { GroupEndpoint, type ReachChange } from "./group-endpoint.js";
import { GroupKnowledge } from "./group-knowledge.js";
import { GroupOrders } from "./group-orders.js";
import type { RelayClient } from "./relay-client.js";
import type { Route } from "./route.js";

/** An endpoint that answered within this time need not be asked whether it answers. */
const JUST_ANSWERED_MS = 50;

export interface GroupOptions {
    readonly name: string;
    readonly dataCentre: string;
    readonly connector: EndpointConnector;
    readonly clock: Clock;
    readonly elapsed: ElapsedClock;
    /** Connections that this process may hold to an endpoint. */
    readonly share: (record: EndpointRecord) => number;
    readonly relay: RelayClient;
    readonly random: () => number;
    readonly listener: GatewayListener;
}

export interface PrimaryState {
    readonly endpoint: string;
    readonly term: number;
    readonly reachable: boolean;
}

/** The endpoints that replicate one database, as one process uses them. */
export class Group {
    readonly #options: GroupOptions;
    readonly #endpoints = new Map<string, GroupEndpoint>();
    readonly #waiting = new Set<() => void>();
    readonly #leader = new Availability();
    readonly #any = new Availability();
    /** What this process has learned of the group's leader and positions. */
    readonly knowledge: GroupKnowledge;
    /** Runs orders for the group's endpoints. */
    readonly orders: GroupOrders;

    constructor(options: GroupOptions) {
        this.#options = options;
        const { name: group, clock, elapsed, listener, relay, random } = options;
        const leaderChanged = (): void => this.#changed();
        this.knowledge = new GroupKnowledge({ group, clock, elapsed, listener, leaderChanged });
        const endpoint = (id: string): GroupEndpoint | undefined => this.#endpoints.get(id);
        this.orders = new GroupOrders({ group, clock, elapsed, relay, random, knowledge: this.knowledge, endpoint });
    }

    get name(): string {
        return this.#options.name;
    }

    record(endpoint: string): EndpointRecord | undefined {
        return this.#endpoints.get(endpoint)?.record;
    }

    /** Takes over the endpoints that have not left. */
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
        this.#changed();
    }

    ordered(order: PromotionOrder): void {
        this.knowledge.ordered(order);
        this.#changed();
    }

    /** The endpoint to send to what only a leader may do; undefined while none is known that can be reached. */
    primary(): string | undefined {
        const { proved } = this.knowledge;
        if (proved !== undefined && this.#canUse(proved)) {
            return proved;
        }
        // Without a connection of its own, this host finds out by what the candidates answer to orders.
        return this.knowledge.candidates()
            .find(id => id !== proved && this.#isRemote(id) && this.#canUse(id));
    }

    /** The endpoint last seen to lead, the term, and whether it can be reached; undefined before any was seen. */
    primaryState(): PrimaryState | undefined {
        const proof = this.knowledge.lastProof;
        const endpoint = proof === undefined ? undefined : this.#endpoints.get(proof.endpoint);
        // Only a host with connections of its own can judge the endpoint.
        return proof === undefined || endpoint === undefined || endpoint.share < 1
            ? undefined
            : { endpoint: proof.endpoint, term: proof.term, reachable: endpoint.isReachable };
    }

    /** What this process knows of the group, for reports. */
    condition(): GroupCondition {
        const now = this.#options.clock.now();
        const proof = this.knowledge.lastProof;
        const { lostAt } = this.#leader;
        const { orderedAt } = this.knowledge;
        return {
            primary: proof && { endpoint: proof.endpoint, term: proof.term, ageMs: now - proof.at },
            leaderlessMs: lostAt === undefined ? undefined : now - lostAt,
            orderedMs: orderedAt === undefined ? undefined : now - orderedAt,
            endpoints: [...this.#endpoints.values()].map(endpoint => endpoint.condition(now)),
        };
    }

    /** Asks an endpoint whether it answers, unless it just has. */
    async checkPrimary(id: string): Promise<void> {
        const endpoint = this.#endpoints.get(id);
        if (endpoint?.isQuiet(JUST_ANSWERED_MS, this.#options.clock.now()) === true) {
            await this.#probe(endpoint);
        }
    }

    remoteReach(): { readonly reachable: number; readonly unreachable: number; } {
        const remote = this.#remote();
        const reachable = remote.filter(endpoint => endpoint.isReachable).length;
        return { reachable, unreachable: remote.length - reachable };
    }

    probeRemote(): void {
        for (const endpoint of this.#remote()) {
            if (endpoint.isReachable && endpoint.isQuiet(JUST_ANSWERED_MS, this.#options.clock.now())) {
                void this.#probe(endpoint);
            }
        }
    }

    /** True when only the leader can prove that a read is fresh. */
    provesByLeader(route: Route, floor: LogPosition | undefined): boolean {
        return this.knowledge.required(route, floor) === undefined;
    }

    /** What is known of the outage of the leader, or of all endpoints. */
    outage(needsLeader: boolean): Outage {
        this.#noteUsable(this.#options.clock.now());
        return {
            lostAt: (needsLeader ? this.#leader : this.#any).lostAt,
            orderedAt: this.knowledge.orderedAt,
            hasCandidate: needsLeader && this.#nextCandidate() !== undefined,
        };
    }

    /** Where a read runs; undefined when no endpoint can serve it now. */
    readChoice(route: Route, floor: LogPosition | undefined, tried: ReadonlySet<string>): ReadChoice | undefined {
        const { clock, random, dataCentre } = this.#options;
        const now = clock.now();
        const required = this.knowledge.required(route, floor);
        const primary = this.primary();
        const targets = [...this.#endpoints]
            .filter(([id, endpoint]) => this.#isUsable(endpoint) && !tried.has(id))
            .map(([id, endpoint]): ReadTarget => ({
                id,
                isPrimary: id === primary,
                isLocal: endpoint.isDirect && endpoint.record.dataCentre === dataCentre,
                expectedMs: endpoint.expectedMs(now),
                isExpectedCaughtUp: required === undefined || this.knowledge.mayHold(id, required),
            }));
        return chooseForRead({ required, targets, random: random() });
    }

    /** A usable endpoint besides the leader follows closely: it will soon hold what a read demands now. */
    hasCloseReplica(): boolean {
        const primary = this.primary();
        return [...this.#endpoints].some(([id, endpoint]) =>
            id !== primary && this.#isUsable(endpoint) && !this.knowledge.lags(id)
        );
    }

    /** Resolves when something changed that may let a request be served, at the latest after `timeoutMs`. */
    change(timeoutMs: number): Promise<void> {
        return new Promise(resolve => {
            const done = (): void => {
                clearTimeout(timer);
                this.#waiting.delete(done);
                resolve();
            };
            const timer = setTimeout(done, timeoutMs);
            this.#waiting.add(done);
            this.#seekPrimary();
        });
    }

    close(): void {
        for (const [id, endpoint] of this.#endpoints) {
            this.#remove(id, endpoint);
        }
        this.#changed();
    }

    /** Endpoints in other data centres to which this host may hold connections. */
    #remote(): readonly GroupEndpoint[] {
        return [...this.#endpoints.values()].filter(({ record, share }) =>
            record.dataCentre !== this.#options.dataCentre && share > 0
        );
    }

    #updateEndpoint(record: EndpointRecord): void {
        const known = this.#endpoints.get(record.id);
        if (known !== undefined && !known.isSame(record)) {
            this.#remove(record.id, known);
        }
        const kept = this.#endpoints.get(record.id);
        if (record.role !== kept?.record.role) {
            this.knowledge.claimed(record);
        }
        const endpoint = kept ?? this.#add(record);
        endpoint.record = record;
        if (record.state === EndpointState.Active) {
            endpoint.warm();
        }
    }

    #add(record: EndpointRecord): GroupEndpoint {
        const { connector, clock, share } = this.#options;
        const reachChanged = (change: ReachChange): void => this.#reachChanged(change);
        const evicted = (id: string, eviction: Eviction): void => this.#evicted(id, eviction);
        const endpoint = new GroupEndpoint(record, { connector, clock, share, reachChanged, evicted });
        this.#endpoints.set(record.id, endpoint);
        return endpoint;
    }

    #remove(id: string, endpoint: GroupEndpoint): void {
        this.#endpoints.delete(id);
        this.knowledge.forget(id);
        endpoint.close();
    }

    /** New work goes to endpoints that stay and can be reached. */
    #isUsable({ record }: GroupEndpoint): boolean {
        return record.state === EndpointState.Active && this.#canUse(record.id);
    }

    #isRemote(id: string): boolean {
        const endpoint = this.#endpoints.get(id);
        return endpoint !== undefined && !endpoint.isDirect;
    }

    #canUse(id: string): boolean {
        const endpoint = this.#endpoints.get(id);
        return endpoint !== undefined && (endpoint.isDirect || this.#options.relay.canReach(this.name, id));
    }

    #evicted(endpoint: string, { transaction, requestId, restedMs, waiting }: Eviction): void {
        const cause = `it rested for ${Math.round(restedMs)} ms while ${waiting} orders waited for a connection`;
        this.#options.listener({ kind: "aborted", group: this.name, endpoint, transaction, requestId, cause });
    }

    #reachChanged(change: ReachChange): void {
        this.#options.listener({ kind: "reach", group: this.name, ...change });
        this.#changed();
    }

    /** Probes endpoints that owe answers but are quiet, and tries unreachable ones again. */
    check(): void {
        const now = this.#options.clock.now();
        this.#noteUsable(now);
        for (const endpoint of this.#endpoints.values()) {
            if (endpoint.maintain(endpoint.record.state === EndpointState.Active, now)) {
                void this.#probe(endpoint);
            }
        }
        if (this.#waiting.size > 0) {
            this.#seekPrimary();
        }
    }

    #noteUsable(now: number): void {
        this.#leader.update(this.primary() !== undefined, now);
        this.#any.update([...this.#endpoints.values()].some(endpoint => this.#isUsable(endpoint)), now);
    }

    async #probe(endpoint: GroupEndpoint): Promise<void> {
        const askedAt = this.#options.elapsed.now();
        const result = await endpoint.probe();
        if (result !== undefined) {
            this.knowledge.probed(endpoint.record.id, result, askedAt);
        }
    }

    /** While requests wait for a leader, the endpoints that may lead are asked. */
    #seekPrimary(): void {
        const candidate = this.#nextCandidate();
        if (candidate !== undefined) {
            void this.#probe(candidate);
        }
    }

    /** The best endpoint that may lead and that this host can ask; the proved one needs no question. */
    #nextCandidate(): GroupEndpoint | undefined {
        return this.knowledge.candidates()
            .filter(id => id !== this.knowledge.proved)
            .map(id => this.#endpoints.get(id))
            .find(endpoint => endpoint?.isDirect === true);
    }

    #changed(): void {
        this.#noteUsable(this.#options.clock.now());
        for (const done of [...this.#waiting]) {
            done();
        }
    }
}
