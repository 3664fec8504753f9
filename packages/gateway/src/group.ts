import { type EndpointRecord, EndpointState, type LeaderKnowledge, type PrimaryOrder } from "@medlarledge/protocol";
import type { Clock } from "@medlarledge/runtime";
import {
    type ConnectFailure,
    type EndpointConnector,
    type LogPosition,
    NotRunReason,
    type Order,
    type OrderResult,
    UnknownReason,
} from "@medlarledge/statements";
import { Availability } from "./availability.js";
import type { ElapsedClock } from "./elapsed-clock.js";
import { type Candidate, chooseForRead, type ReadChoice } from "./endpoint-choice.js";
import { EndpointLoad } from "./endpoint-load.js";
import { EndpointPool } from "./endpoint-pool.js";
import { EndpointReach, Reach } from "./endpoint-reach.js";
import { Freshness } from "./freshness.js";
import type { GatewayListener } from "./gateway-event.js";
import type { Outage } from "./outlook.js";
import { PrimaryBelief } from "./primary-belief.js";
import type { RelayClient } from "./relay-client.js";
import type { Route } from "./route.js";

/** Connections kept open to each endpoint, so that the first request does not wait for one. */
const WARM_CONNECTIONS = 1;

/** A probe that is not answered in this time shows a silent endpoint; probes wait for no slot. */
const PROBE_TIMEOUT_MS = 200;

/** An endpoint that answered nothing for this long while orders are outstanding is probed. */
const QUIET_MS = 100;

/** Interval of the checks for quiet and unreachable endpoints. */
const CHECK_MS = 50;

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

export interface EndpointUse {
    readonly endpoint: string;
    readonly reach: Reach;
    readonly connections: number;
    readonly idle: number;
    /** Connections that callers' transactions hold. */
    readonly transactions: number;
    /** Orders that wait for a connection. */
    readonly waiting: number;
    readonly running: number;
}

interface Member {
    record: EndpointRecord;
    readonly pool: EndpointPool;
    readonly reach: EndpointReach;
    readonly load: EndpointLoad;
    /** Gives up reads that wait for this endpoint, so that they go elsewhere. */
    readonly abandon: Set<() => void>;
    isProbed: boolean;
}

/** The endpoints that replicate one database, as one process uses them. */
export class Group {
    readonly #options: GroupOptions;
    readonly #members = new Map<string, Member>();
    readonly #belief = new PrimaryBelief();
    readonly #freshness = new Freshness();
    readonly #waiting = new Set<() => void>();
    readonly #timer: NodeJS.Timeout;
    readonly #leader = new Availability();
    readonly #any = new Availability();
    #orderedAt: number | undefined;

    constructor(options: GroupOptions) {
        this.#options = options;
        this.#timer = setInterval(() => this.#check(), CHECK_MS);
    }

    get name(): string {
        return this.#options.name;
    }

    record(endpoint: string): EndpointRecord | undefined {
        return this.#members.get(endpoint)?.record;
    }

    /** Takes over the endpoints that have not left. */
    update(records: readonly EndpointRecord[]): void {
        const ids = new Set(records.map(record => record.id));
        for (const [id, member] of this.#members) {
            if (!ids.has(id)) {
                this.#remove(id, member);
            }
        }
        for (const record of records) {
            this.#updateMember(record);
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
        if (proved !== undefined) {
            return this.#canUse(proved) ? proved : undefined;
        }
        // Without a connection of its own, this host finds out by what the candidates answer to orders.
        const [candidate] = this.#belief.candidates(this.#options.clock.now());
        return candidate !== undefined && this.#isRemote(candidate) && this.#canUse(candidate) ? candidate : undefined;
    }

    /** The endpoint last seen to lead, the term, and whether it can be reached; undefined before any was seen. */
    primaryState(): PrimaryState | undefined {
        const proof = this.#belief.lastProof;
        const member = proof === undefined ? undefined : this.#members.get(proof.endpoint);
        // Only a host with connections of its own can judge the endpoint.
        return proof === undefined || member === undefined || this.#options.share(member.record) < 1
            ? undefined
            : { ...proof, reachable: member.reach.isReachable };
    }

    /** What this process uses of each endpoint, for reports. */
    status(): readonly EndpointUse[] {
        return [...this.#members.values()].map(({ record, pool, reach, load }) => ({
            endpoint: record.id,
            reach: reach.reach,
            connections: pool.size,
            idle: pool.idle,
            transactions: pool.transactions,
            waiting: pool.waiting,
            running: load.running,
        }));
    }

    /** Asks an endpoint whether it answers, unless it just has. */
    async checkPrimary(endpoint: string): Promise<void> {
        const member = this.#members.get(endpoint);
        if (member !== undefined && this.#isQuiet(member)) {
            await this.#probe(member);
        }
    }

    remoteReach(): { readonly reachable: number; readonly unreachable: number; } {
        const reaches = this.#remote().map(({ reach }) => reach.isReachable);
        const reachable = reaches.filter(isReachable => isReachable).length;
        return { reachable, unreachable: reaches.length - reachable };
    }

    probeRemote(): void {
        for (const member of this.#remote()) {
            if (member.reach.isReachable && this.#isQuiet(member)) {
                void this.#probe(member);
            }
        }
    }

    /** What is known of the outage of the leader, or of all endpoints. */
    outage(needsLeader: boolean): Outage {
        this.#noteUsable(this.#options.clock.now());
        return { lostAt: (needsLeader ? this.#leader : this.#any).lostAt, orderedAt: this.#orderedAt };
    }

    /** Where a read runs; undefined when no endpoint can serve it now. */
    readChoice(route: Route, floor: LogPosition | undefined, tried: ReadonlySet<string>): ReadChoice | undefined {
        const { clock, elapsed, random } = this.#options;
        const now = clock.now();
        const required = this.#freshness.required(route, floor, elapsed.now());
        const primary = this.primary();
        const candidates = [...this.#members.values()]
            .filter(member => this.#isUsable(member) && !tried.has(member.record.id))
            .map((member): Candidate => ({
                id: member.record.id,
                isPrimary: member.record.id === primary,
                isNear: this.#isDirect(member) && member.record.dataCentre === this.#options.dataCentre,
                expectedMs: member.load.expectedMs(member.record.slots, now),
                mayHold: required === undefined
                    || this.#freshness.mayHold(member.record.id, required, elapsed.now()),
            }));
        return chooseForRead({ required, candidates, random: random() });
    }

    /** Runs an order and learns from its result. `repeatable` orders are given up when the endpoint falls silent. */
    async run(order: Order, repeatable: boolean): Promise<OrderResult> {
        const member = this.#members.get(order.endpoint);
        if (member === undefined) {
            return { kind: "notRun", reason: NotRunReason.Unreachable, position: undefined };
        }
        return this.#measured(member, order, askedAt => this.#abandonable(member, order, repeatable, askedAt));
    }

    /** Runs an order of another host, over a connection of this one. */
    async runHere(order: Order): Promise<OrderResult> {
        const member = this.#members.get(order.endpoint);
        if (member === undefined || (order.opening.kind !== "continued" && !this.#isDirect(member))) {
            return { kind: "notRun", reason: NotRunReason.Unreachable, position: undefined };
        }
        return this.#measured(member, order, async askedAt => {
            const result = await member.pool.run(order);
            this.#learn(order.endpoint, result, askedAt);
            return result;
        });
    }

    endTransaction(endpoint: string, transaction: string): void {
        if (!this.#options.relay.endTransaction(this.name, endpoint, transaction)) {
            this.endHere(endpoint, transaction);
        }
    }

    /** Rolls back a transaction that runs over a connection of this host. */
    endHere(endpoint: string, transaction: string): void {
        this.#members.get(endpoint)?.pool.endTransaction(transaction);
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
        clearInterval(this.#timer);
        for (const [id, member] of this.#members) {
            this.#remove(id, member);
        }
        this.#changed();
    }

    /** Members in other data centres to which this host may hold connections. */
    #remote(): readonly Member[] {
        return [...this.#members.values()].filter(({ record }) =>
            record.dataCentre !== this.#options.dataCentre && this.#options.share(record) > 0
        );
    }

    #isQuiet({ reach }: Member): boolean {
        return this.#options.clock.now() - reach.answeredAt > CHECK_MS;
    }

    #updateMember(record: EndpointRecord): void {
        const known = this.#members.get(record.id);
        const isSame = known !== undefined && known.record.born === record.born && known.record.host === record.host
            && known.record.port === record.port;
        if (known !== undefined && !isSame) {
            this.#remove(record.id, known);
        }
        const member = isSame ? known : this.#add(record);
        const hadRole = isSame ? known.record.role : undefined;
        member.record = record;
        if (record.role !== hadRole) {
            this.#belief.claim(record.id, record.role === "primary", this.#options.clock.now());
        }
        if (record.state === EndpointState.Active) {
            member.pool.warm(WARM_CONNECTIONS);
        }
    }

    #add(record: EndpointRecord): Member {
        const { id, host, port, group } = record;
        const member: Member = {
            record,
            pool: new EndpointPool({
                address: { id, group, host, port },
                connector: this.#options.connector,
                clock: this.#options.clock,
                limit: () => this.#options.share(member.record),
                events: {
                    answered: () => this.#reached(member),
                    connected: () => this.#reached(member),
                    connectFailed: (failure, startedAt) => this.#connectFailed(member, failure, startedAt),
                    closed: () => member.pool.warm(WARM_CONNECTIONS),
                },
            }),
            reach: new EndpointReach(),
            load: new EndpointLoad(),
            abandon: new Set(),
            isProbed: false,
        };
        this.#members.set(id, member);
        return member;
    }

    #remove(id: string, member: Member): void {
        this.#members.delete(id);
        this.#belief.forget(id);
        this.#freshness.forget(id);
        member.pool.close();
    }

    /** New work goes to endpoints that stay and can be reached. */
    #isUsable({ record }: Member): boolean {
        return record.state === EndpointState.Active && this.#canUse(record.id);
    }

    async #measured(
        member: Member,
        order: Order,
        run: (askedAt: number) => Promise<OrderResult>,
    ): Promise<OrderResult> {
        const { clock, elapsed } = this.#options;
        const startedAt = clock.now();
        member.load.started();
        const result = await run(elapsed.now());
        member.load.ended(result.kind === "notRun" ? undefined : clock.now() - startedAt, clock.now());
        return result;
    }

    #abandonable(member: Member, order: Order, repeatable: boolean, askedAt: number): Promise<OrderResult> {
        const running = this.#runAnywhere(member, order, askedAt);
        if (!repeatable) {
            return running;
        }
        return new Promise(resolve => {
            let isAbandoned = false;
            const abandon = (): void => {
                isAbandoned = true;
                resolve({ kind: "unknown", reason: UnknownReason.Timeout });
            };
            member.abandon.add(abandon);
            void running.then(result => {
                member.abandon.delete(abandon);
                resolve(result);
                if (isAbandoned && order.transaction !== undefined) {
                    this.endTransaction(order.endpoint, order.transaction);
                }
            });
        });
    }

    /** Runs an order over an own connection where there is one, and over another host's otherwise. */
    async #runAnywhere(member: Member, order: Order, askedAt: number): Promise<OrderResult> {
        const isOwn = order.opening.kind === "continued"
            ? member.pool.holds(order.transaction ?? "")
            : this.#isDirect(member);
        if (isOwn) {
            const own = await member.pool.run(order);
            this.#learn(order.endpoint, own, askedAt);
            if (!needsConnection(own) || !this.#options.relay.canReach(this.name, order.endpoint)) {
                return own;
            }
        }
        const { result, leader } = await this.#options.relay.run(order);
        this.#learn(order.endpoint, result, askedAt);
        if (leader !== undefined) {
            this.#freshness.leaderAt(leader.position, askedAt - leader.ageMs, this.#options.elapsed.now());
        }
        return result;
    }

    /** This host may hold connections to the endpoint, and it answers. */
    #isDirect({ record, reach }: Member): boolean {
        return reach.isReachable && this.#options.share(record) > 0;
    }

    #isRemote(endpoint: string): boolean {
        const member = this.#members.get(endpoint);
        return member !== undefined && !this.#isDirect(member);
    }

    #canUse(endpoint: string): boolean {
        const member = this.#members.get(endpoint);
        return member !== undefined
            && (this.#isDirect(member) || this.#options.relay.canReach(this.name, endpoint));
    }

    #learn(endpoint: string, result: OrderResult, askedAt: number): void {
        const { clock } = this.#options;
        if (result.kind === "answered") {
            this.#positionSeen(endpoint, result.answer.position, result.led, askedAt);
        }
        else if (result.kind === "notRun") {
            this.#positionSeen(endpoint, result.position, false, askedAt);
            if (result.reason === NotRunReason.Follows) {
                this.#belief.deny(endpoint, clock.now());
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
        if (this.#belief.prove(endpoint, term, this.#options.clock.now())) {
            this.#options.listener({ kind: "primary", group: this.name, endpoint, term });
            this.#changed();
        }
    }

    #reached(member: Member): void {
        if (member.reach.answered(this.#options.clock.now())) {
            this.#reachChanged(member);
        }
    }

    #connectFailed(member: Member, failure: ConnectFailure, startedAt: number): void {
        if (member.reach.answeredAt > startedAt) {
            // The attempt began before the endpoint answered: it says nothing about the present.
            return;
        }
        const reaches: Partial<Record<ConnectFailure["kind"], Exclude<Reach, "reachable">>> = {
            refused: Reach.Closed,
            timeout: Reach.Silent,
            misrouted: Reach.Replaced,
        };
        const reach = reaches[failure.kind];
        if (reach !== undefined) {
            this.#unreachable(member, reach);
        }
    }

    #unreachable(member: Member, reach: Exclude<Reach, "reachable">): void {
        if (member.reach.failed(reach, this.#options.clock.now())) {
            this.#reachChanged(member);
            for (const abandon of [...member.abandon]) {
                abandon();
            }
        }
    }

    #reachChanged({ record, reach }: Member): void {
        this.#options.listener({ kind: "reach", group: this.name, endpoint: record.id, reach: reach.reach });
        this.#changed();
    }

    /** Probes endpoints that owe answers but are quiet, and tries unreachable ones again. */
    #check(): void {
        const now = this.#options.clock.now();
        this.#noteUsable(now);
        for (const member of this.#members.values()) {
            const { reach, load, pool, record } = member;
            pool.trim(WARM_CONNECTIONS);
            if (reach.isReachable && record.state === EndpointState.Active) {
                pool.warm(WARM_CONNECTIONS);
            }
            if (this.#options.share(member.record) > 0 && reach.isTrialDue(now)) {
                pool.warm(pool.size + 1);
            }
            else if (reach.isReachable && load.running > 0 && now - reach.answeredAt > QUIET_MS) {
                void this.#probe(member);
            }
        }
        if (this.#waiting.size > 0) {
            this.#seekPrimary();
        }
    }

    #noteUsable(now: number): void {
        this.#leader.note(this.primary() !== undefined, now);
        this.#any.note([...this.#members.values()].some(member => this.#isUsable(member)), now);
    }

    async #probe(member: Member): Promise<void> {
        if (member.isProbed) {
            return;
        }
        member.isProbed = true;
        const askedAt = this.#options.elapsed.now();
        const result = await member.pool.probe(PROBE_TIMEOUT_MS);
        member.isProbed = false;
        if (result.kind === "unanswered") {
            this.#unreachable(member, Reach.Silent);
        }
        else if (result.kind !== "notAsked") {
            this.#positionSeen(member.record.id, result.position, result.kind === "leads", askedAt);
            if (result.kind === "follows") {
                this.#belief.deny(member.record.id, this.#options.clock.now());
            }
        }
    }

    /** While requests wait for a leader, the endpoints that may lead are asked. */
    #seekPrimary(): void {
        const candidates = this.#belief.candidates(this.#options.clock.now());
        for (const id of candidates) {
            const member = this.#members.get(id);
            if (member !== undefined && this.#isDirect(member) && id !== this.#belief.proved) {
                void this.#probe(member);
                return;
            }
        }
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
