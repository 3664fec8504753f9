import { type EndpointRecord, EndpointState, type PrimaryOrder } from "@medlarledge/protocol";
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
import type { ElapsedClock } from "./elapsed-clock.js";
import { type Candidate, chooseForRead, type ReadChoice } from "./endpoint-choice.js";
import { EndpointLoad } from "./endpoint-load.js";
import { EndpointPool } from "./endpoint-pool.js";
import { EndpointReach, Reach } from "./endpoint-reach.js";
import { Freshness } from "./freshness.js";
import type { GatewayListener } from "./gateway-event.js";
import { PrimaryBelief } from "./primary-belief.js";
import type { Route } from "./route.js";

/** Connections kept open to each endpoint, so that the first request does not wait for one. */
const WARM_CONNECTIONS = 1;

/** A probe that is not answered in this time shows a silent endpoint; probes wait for no slot. */
const PROBE_TIMEOUT_MS = 250;

/** An endpoint that answered nothing for this long while orders are outstanding is probed. */
const QUIET_MS = 150;

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

    constructor(options: GroupOptions) {
        this.#options = options;
        this.#timer = setInterval(() => this.#check(), CHECK_MS);
    }

    get name(): string {
        return this.#options.name;
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
        this.#changed();
    }

    /** The endpoint to send to what only a leader may do; undefined while none is known that can be reached. */
    primary(): string | undefined {
        const { proved } = this.#belief;
        return proved !== undefined && this.#members.get(proved)?.reach.isReachable === true ? proved : undefined;
    }

    /** The endpoint last seen to lead, the term, and whether it can be reached; undefined before any was seen. */
    primaryState(): PrimaryState | undefined {
        const proof = this.#belief.lastProof;
        return proof === undefined
            ? undefined
            : { ...proof, reachable: this.#members.get(proof.endpoint)?.reach.isReachable === true };
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
        if (member !== undefined && this.#options.clock.now() - member.reach.answeredAt > CHECK_MS) {
            await this.#probe(member);
        }
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
                isNear: member.record.dataCentre === this.#options.dataCentre,
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
        const { clock, elapsed } = this.#options;
        const askedAt = elapsed.now();
        const startedAt = clock.now();
        member.load.started();
        const result = await this.#abandonable(member, order, repeatable);
        member.load.ended(result.kind === "notRun" ? undefined : clock.now() - startedAt, clock.now());
        this.#learn(order.endpoint, result, askedAt);
        return result;
    }

    endTransaction(endpoint: string, transaction: string): void {
        this.#members.get(endpoint)?.pool.endTransaction(transaction);
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
                    connectFailed: failure => this.#connectFailed(member, failure),
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

    /** New work goes to endpoints that stay and answer. */
    #isUsable({ record, reach }: Member): boolean {
        return record.state === EndpointState.Active && reach.isReachable;
    }

    #abandonable(member: Member, order: Order, repeatable: boolean): Promise<OrderResult> {
        const running = member.pool.run(order);
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
                    member.pool.endTransaction(order.transaction);
                }
            });
        });
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

    #connectFailed(member: Member, failure: ConnectFailure): void {
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
        for (const member of this.#members.values()) {
            const { reach, load, pool } = member;
            if (reach.isTrialDue(now)) {
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
            if (member?.reach.isReachable === true && id !== this.#belief.proved) {
                void this.#probe(member);
                return;
            }
        }
    }

    #changed(): void {
        for (const done of [...this.#waiting]) {
            done();
        }
    }
}
