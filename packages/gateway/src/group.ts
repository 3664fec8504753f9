import { type EndpointRecord, EndpointState, type LeaderKnowledge, type PrimaryOrder } from "@medlarledge/protocol";
import { RETRY_OPTIONS, RetryBudget } from "@medlarledge/routing";
import type { Clock } from "@medlarledge/runtime";
import {
    type EndpointConnector,
    type LogPosition,
    NotRunReason,
    type Order,
    type OrderResult,
} from "@medlarledge/statements";
import { Availability } from "./availability.js";
import type { ElapsedClock } from "./elapsed-clock.js";
import { type Candidate, chooseForRead, type ReadChoice } from "./endpoint-choice.js";
import type { Eviction } from "./endpoint-pool.js";
import { Freshness } from "./freshness.js";
import type { GatewayListener } from "./gateway-event.js";
import type { GroupCondition } from "./group-condition.js";
import { GroupEndpoint, type ReachChange } from "./group-endpoint.js";
import type { Outage } from "./outlook.js";
import { PrimaryBelief } from "./primary-belief.js";
import { FULL_POOL_MS, type RelayClient } from "./relay-client.js";
import type { Route } from "./route.js";

/** An endpoint that answered within this time need not be asked whether it answers. */
const JUST_ANSWERED_MS = 50;

/**
 * Reads that may be repeated because their answer is overdue or a failure. Endpoints lose up to a fifth of their answers
 * when they fail in part, and a host with few callers has few attempts in a window.
 */
const READ_REPEATS = { share: 0.2, least: 3 } as const;

const MAX_SEED = 2 ** 31;

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
    readonly #belief = new PrimaryBelief();
    readonly #freshness = new Freshness();
    readonly #waiting = new Set<() => void>();
    readonly #leader = new Availability();
    readonly #any = new Availability();
    readonly #repeats: RetryBudget;
    #orderedAt: number | undefined;

    constructor(options: GroupOptions) {
        this.#options = options;
        this.#repeats = new RetryBudget({
            ...RETRY_OPTIONS,
            ...READ_REPEATS,
            seed: Math.floor(options.random() * MAX_SEED),
        });
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

    ordered(order: PrimaryOrder): void {
        this.#belief.order(order.endpoint, order.fence);
        this.#orderedAt = this.#options.clock.now();
        this.#changed();
    }

    /** The endpoint to send to what only a leader may do; undefined while none is known that can be reached. */
    primary(): string | undefined {
        const { proved } = this.#belief;
        if (proved !== undefined && this.#canUse(proved)) {
            return proved;
        }
        // Without a connection of its own, this host finds out by what the candidates answer to orders.
        return this.#belief.candidates(this.#options.clock.now())
            .find(id => id !== proved && this.#isRemote(id) && this.#canUse(id));
    }

    /** The endpoint last seen to lead, the term, and whether it can be reached; undefined before any was seen. */
    primaryState(): PrimaryState | undefined {
        const proof = this.#belief.lastProof;
        const endpoint = proof === undefined ? undefined : this.#endpoints.get(proof.endpoint);
        // Only a host with connections of its own can judge the endpoint.
        return proof === undefined || endpoint === undefined || endpoint.share < 1
            ? undefined
            : { endpoint: proof.endpoint, term: proof.term, reachable: endpoint.isReachable };
    }

    /** What this process knows of the group, for reports. */
    condition(): GroupCondition {
        const now = this.#options.clock.now();
        const proof = this.#belief.lastProof;
        const { lostAt } = this.#leader;
        return {
            primary: proof && { endpoint: proof.endpoint, term: proof.term, ageMs: now - proof.at },
            leaderlessMs: lostAt === undefined ? undefined : now - lostAt,
            orderedMs: this.#orderedAt === undefined ? undefined : now - this.#orderedAt,
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
        return this.#freshness.required(route, floor, this.#options.elapsed.now()) === undefined;
    }

    /** What is known of the outage of the leader, or of all endpoints. */
    outage(needsLeader: boolean): Outage {
        this.#noteUsable(this.#options.clock.now());
        return {
            lostAt: (needsLeader ? this.#leader : this.#any).lostAt,
            orderedAt: this.#orderedAt,
            hasCandidate: needsLeader && this.#nextCandidate() !== undefined,
        };
    }

    /** Where a read runs; undefined when no endpoint can serve it now. */
    readChoice(route: Route, floor: LogPosition | undefined, tried: ReadonlySet<string>): ReadChoice | undefined {
        const { clock, elapsed, random, dataCentre } = this.#options;
        const now = clock.now();
        const required = this.#freshness.required(route, floor, elapsed.now());
        const primary = this.primary();
        const candidates = [...this.#endpoints]
            .filter(([id, endpoint]) => this.#isUsable(endpoint) && !tried.has(id))
            .map(([id, endpoint]): Candidate => ({
                id,
                isPrimary: id === primary,
                isNear: endpoint.isDirect && endpoint.record.dataCentre === dataCentre,
                expectedMs: endpoint.expectedMs(now),
                mayHold: required === undefined || this.#freshness.mayHold(id, required, elapsed.now()),
            }));
        return chooseForRead({ required, candidates, random: random() });
    }

    /** Runs an order and learns from its result. `repeatable` orders are given up when the endpoint falls silent. */
    async run(order: Order, repeatable: boolean): Promise<OrderResult> {
        const endpoint = this.#endpoints.get(order.endpoint);
        if (endpoint === undefined) {
            return { kind: "notRun", reason: NotRunReason.Unreachable, position: undefined };
        }
        if (repeatable) {
            this.#repeats.attempted(this.#options.clock.now());
        }
        return endpoint.measure(() => {
            const running = this.#runAnywhere(endpoint, order);
            return repeatable
                ? endpoint.abandonable(running, {
                    mayRepeat: () => this.mayRepeat(order.endpoint),
                    ended: () => this.#endAbandoned(order),
                })
                : running;
        });
    }

    /** Repeating reads must not multiply the load of endpoints that are slow or fail because they have too much. */
    mayRepeat(endpoint: string): boolean {
        return this.#repeats.retry(endpoint, 1, this.#options.clock.now()) !== undefined;
    }

    #endAbandoned({ endpoint, transaction }: Order): void {
        if (transaction !== undefined) {
            this.endTransaction(endpoint, transaction);
        }
    }

    /** Runs an order of another host, over a connection of this one. */
    async runHere(order: Order): Promise<OrderResult> {
        const endpoint = this.#endpoints.get(order.endpoint);
        if (endpoint === undefined || (order.opening.kind !== "continued" && !endpoint.isDirect)) {
            return { kind: "notRun", reason: NotRunReason.Unreachable, position: undefined };
        }
        return endpoint.measure(() => this.#runOn(endpoint, order));
    }

    endTransaction(endpoint: string, transaction: string): void {
        if (!this.#options.relay.endTransaction(this.name, endpoint, transaction)) {
            this.endHere(endpoint, transaction);
        }
    }

    /** Rolls back a transaction that runs over a connection of this host. */
    endHere(endpoint: string, transaction: string): void {
        this.#endpoints.get(endpoint)?.endTransaction(transaction);
    }

    /** What this host knows of the leader's position, for hosts that know less. */
    leaderKnowledge(): LeaderKnowledge | undefined {
        return this.#freshness.leaderKnowledge(this.#options.elapsed.now());
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
            this.#belief.claim(record.id, record.role === "primary", this.#options.clock.now());
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
        this.#belief.forget(id);
        this.#freshness.forget(id);
        endpoint.close();
    }

    /** New work goes to endpoints that stay and can be reached. */
    #isUsable({ record }: GroupEndpoint): boolean {
        return record.state === EndpointState.Active && this.#canUse(record.id);
    }

    /** Runs an order over an own connection where there is one, and over another host's otherwise. */
    async #runAnywhere(endpoint: GroupEndpoint, order: Order): Promise<OrderResult> {
        const isOwn = order.opening.kind === "continued"
            ? endpoint.pool.holds(order.transaction ?? "")
            : endpoint.isDirect;
        if (!isOwn) {
            return this.#relay(order);
        }
        if (order.opening.kind === "continued" || !this.#options.relay.canReach(this.name, order.endpoint)) {
            return this.#runOn(endpoint, order);
        }
        const startedAt = this.#options.clock.now();
        const own = await this.#runOn(endpoint, { ...order, patienceMs: Math.min(order.patienceMs, FULL_POOL_MS) });
        const leftMs = order.patienceMs - (this.#options.clock.now() - startedAt);
        return needsConnection(own) && leftMs > 0 ? this.#relay({ ...order, patienceMs: leftMs }) : own;
    }

    async #runOn(endpoint: GroupEndpoint, order: Order): Promise<OrderResult> {
        const askedAt = this.#options.elapsed.now();
        const result = await endpoint.run(order);
        this.#learn(order.endpoint, result, askedAt);
        return result;
    }

    async #relay(order: Order): Promise<OrderResult> {
        const { elapsed, relay } = this.#options;
        const askedAt = elapsed.now();
        const { result, leader } = await relay.run(order);
        this.#learn(order.endpoint, result, askedAt);
        if (leader !== undefined) {
            this.#freshness.leaderAt(leader.position, askedAt - leader.ageMs, elapsed.now());
        }
        return result;
    }

    #isRemote(id: string): boolean {
        const endpoint = this.#endpoints.get(id);
        return endpoint !== undefined && !endpoint.isDirect;
    }

    #canUse(id: string): boolean {
        const endpoint = this.#endpoints.get(id);
        return endpoint !== undefined && (endpoint.isDirect || this.#options.relay.canReach(this.name, id));
    }

    #learn(endpoint: string, result: OrderResult, askedAt: number): void {
        if (result.kind === "answered") {
            this.#positionSeen(endpoint, result.answer.position, result.led, askedAt);
        }
        else if (result.kind === "notRun") {
            this.#positionSeen(endpoint, result.position, false, askedAt);
            if (result.reason === NotRunReason.Follows) {
                this.#denied(endpoint);
            }
        }
    }

    #positionSeen(endpoint: string, position: LogPosition | undefined, led: boolean, askedAt: number): void {
        if (position === undefined) {
            return;
        }
        const seenAt = this.#options.elapsed.now();
        if (led) {
            this.#freshness.leaderAt(position, askedAt, seenAt);
            this.#proved(endpoint, position.term);
        }
        this.#freshness.endpointAt(endpoint, position, askedAt, seenAt);
    }

    #proved(endpoint: string, term: number): void {
        const former = this.#belief.proved;
        if (this.#belief.prove(endpoint, term, this.#options.clock.now())) {
            this.#options.listener({ kind: "primary", group: this.name, endpoint, term, former });
            this.#changed();
        }
    }

    #denied(endpoint: string): void {
        const { term, proved } = this.#belief;
        this.#belief.deny(endpoint, this.#options.clock.now());
        if (proved === endpoint) {
            this.#options.listener({ kind: "denied", group: this.name, endpoint, term });
        }
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
        this.#leader.note(this.primary() !== undefined, now);
        this.#any.note([...this.#endpoints.values()].some(endpoint => this.#isUsable(endpoint)), now);
    }

    async #probe(endpoint: GroupEndpoint): Promise<void> {
        const askedAt = this.#options.elapsed.now();
        const result = await endpoint.probe();
        if (result?.kind === "leads" || result?.kind === "follows") {
            this.#positionSeen(endpoint.record.id, result.position, result.kind === "leads", askedAt);
            if (result.kind === "follows") {
                this.#denied(endpoint.record.id);
            }
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
        return this.#belief.candidates(this.#options.clock.now())
            .filter(id => id !== this.#belief.proved)
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

/** The order did not run for want of a connection: another host may have one. */
function needsConnection(result: OrderResult): boolean {
    return result.kind === "notRun"
        && (result.reason === NotRunReason.Unreachable || result.reason === NotRunReason.NoConnection);
}
