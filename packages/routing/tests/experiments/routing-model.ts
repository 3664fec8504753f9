import type { RegisteredEndpoint } from "@medlarledge/protocol";
import {
    type Candidate,
    PrimaryPositions,
    proofHolds,
    ReplicaPositions,
    type RouteDecision,
    Router,
    type RouteRequest,
    type RouterOptions,
    type RouteStrategy,
    type RouteStrategyName,
} from "../../src/index.js";
import { Random } from "../../src/random.js";
import { EventQueue } from "./event-queue.js";
import { Replication } from "./replication.js";

/** `complete`: a router with complete information about all positions, as the upper bound. */
export type MeasuredStrategy = RouteStrategyName | RouteStrategy | "complete";

export interface RoutingCell {
    readonly strategy: MeasuredStrategy;
    readonly lagMs: number;
    readonly writeShare: number;
    readonly reads: number;
    readonly seed: number;
    readonly spread?: RouterOptions["spread"];
}

export interface RoutingResult {
    readonly reads: number;
    /** Reads answered by replicas, as a share of all reads. */
    readonly replicaShare: number;
    /** Position queries that fell short, per read: each used a slot without a result. */
    readonly wastedSlots: number;
    /** Mean added latency compared with a read on the nearest endpoint, in ms. */
    readonly addedMs: number;
    readonly floorViolations: number;
    readonly ageViolations: number;
}

const TERMS = [{ term: 1, primary: "e0", start: 0, timeline: 1 }];
const SESSIONS = 30;
const THINK_MS = 30;
const SERVICE_MS = 2;
const WAIT_MS = 5;
const PROBE_MS = 100;
const AGES_MS = [400, 2_000];
const AGE_SHARE = 0.3;
const ROAMING_SHARE = 0.05;

interface EntryHost {
    readonly index: number;
    readonly router: Router;
    readonly primary: PrimaryPositions;
    readonly replicas: ReplicaPositions;
    readonly inFlight: number[];
}

interface Read {
    readonly host: EntryHost;
    readonly session: { floor: number; };
    readonly floor: number | undefined;
    readonly ageMs: number | undefined;
    readonly arrivedAt: number;
    readonly tried: string[];
}

/** One database with a primary and two replicas, three entry hosts, and sessions that write, read and roam. */
class Model {
    readonly #cell: RoutingCell;
    readonly #random: Random;
    readonly #queue = new EventQueue();
    readonly #replication: Replication;
    readonly #hosts: readonly EntryHost[];
    #reads = 0;
    #onReplicas = 0;
    #wasted = 0;
    #addedMs = 0;
    #floorViolations = 0;
    #ageViolations = 0;

    constructor(cell: RoutingCell) {
        this.#cell = cell;
        this.#random = new Random(cell.seed);
        this.#replication = new Replication([cell.lagMs, cell.lagMs * 1.5]);
        this.#hosts = [0, 1, 2].map(index => ({
            index,
            router: new Router({
                strategy: cell.strategy === "complete" ? "primaryOnly" : cell.strategy,
                spread: cell.spread ?? "twoChoices",
                ageMarginMs: 5,
                seed: cell.seed + index,
            }),
            primary: new PrimaryPositions(),
            replicas: new ReplicaPositions(),
            inFlight: [0, 0, 0],
        }));
    }

    run(): RoutingResult {
        for (const host of this.#hosts) {
            this.#queue.add(0, now => this.#probe(host, now));
        }
        for (let index = 0; index < SESSIONS; index++) {
            const session = { floor: 0 };
            this.#queue.add(this.#random.unit() * THINK_MS, now => this.#step(session, index % 3, now));
        }
        for (let end = 1_000; this.#reads < this.#cell.reads; end += 1_000) {
            this.#queue.runUntil(end);
        }
        return {
            reads: this.#reads,
            replicaShare: this.#onReplicas / this.#reads,
            wastedSlots: this.#wasted / this.#reads,
            addedMs: this.#addedMs / this.#reads,
            floorViolations: this.#floorViolations,
            ageViolations: this.#ageViolations,
        };
    }

    #step(session: { floor: number; }, at: number, now: number): void {
        const index = this.#random.unit() < ROAMING_SHARE ? this.#random.below(3) : at;
        const host = this.#hosts[index]!;
        const done = (time: number) => {
            const think = -Math.log(1 - this.#random.unit()) * THINK_MS;
            this.#queue.add(time + think, next => this.#step(session, index, next));
        };
        if (this.#random.unit() < this.#cell.writeShare) {
            this.#write(host, session, now, done);
            return;
        }
        const ageMs = this.#random.unit() < AGE_SHARE ? AGES_MS[this.#random.below(2)] : undefined;
        // A read with a maximum age needs no floor and raises none.
        const floor = ageMs === undefined ? session.floor : undefined;
        this.#route({ host, session, floor, ageMs, arrivedAt: now, tried: [] }, now, done);
    }

    #write(host: EntryHost, session: { floor: number; }, now: number, done: (now: number) => void): void {
        this.#queue.add(now + distance(host.index, 0) + SERVICE_MS, committed => {
            const position = this.#replication.commit(committed);
            this.#queue.add(committed + distance(host.index, 0), answered => {
                host.primary.record(1, position, now, answered);
                session.floor = Math.max(session.floor, position);
                done(answered);
            });
        });
    }

    #route(read: Read, now: number, done: (now: number) => void): void {
        const decision = this.#cell.strategy === "complete" ? this.#complete(read, now) : this.#choose(read, now);
        if (decision.kind === "wait") {
            this.#queue.add(decision.untilMs, next => this.#route(read, next, done));
        }
        else if (decision.kind === "send") {
            this.#send(read, decision, now, done);
        }
        else {
            throw new Error(`refused: ${decision.reason}`);
        }
    }

    #send(
        read: Read,
        decision: RouteDecision & { readonly kind: "send"; },
        now: number,
        done: (now: number) => void,
    ): void {
        const { host, session } = read;
        const endpoint = Number(decision.endpoint.slice(1));
        const way = distance(host.index, endpoint);
        host.inFlight[endpoint]!++;
        this.#queue.add(now + way, started => {
            const seen = this.#replication.positionOf(endpoint, started);
            const fails = decision.proof === "self" && !proofHolds(TERMS, 1, seen, decision.floor);
            const ended = started + (fails ? 0.1 : SERVICE_MS);
            this.#queue.add(ended, () => {
                const after = this.#replication.positionOf(endpoint, ended);
                this.#queue.add(ended + way, answered => {
                    host.inFlight[endpoint]!--;
                    this.#report(host, endpoint, after, now, answered);
                    if (fails) {
                        this.#wasted++;
                        if (answered > read.arrivedAt + WAIT_MS) {
                            read.tried.push(decision.endpoint);
                        }
                        this.#route(read, answered, done);
                        return;
                    }
                    session.floor = read.floor === undefined ? session.floor : Math.max(session.floor, after);
                    this.#count(read, endpoint, seen, started, answered);
                    done(answered);
                });
            });
        });
    }

    #count(read: Read, endpoint: number, seen: number, started: number, answered: number): void {
        this.#reads++;
        this.#onReplicas += endpoint === 0 ? 0 : 1;
        this.#addedMs += answered - read.arrivedAt - SERVICE_MS - 2 * distance(read.host.index, read.host.index);
        this.#floorViolations += seen < (read.floor ?? 0) ? 1 : 0;
        const oldest = read.ageMs === undefined ? 0 : this.#replication.primaryAt(started - read.ageMs);
        this.#ageViolations += seen < oldest ? 1 : 0;
    }

    #probe(host: EntryHost, now: number): void {
        for (const endpoint of [0, 1, 2]) {
            const way = distance(host.index, endpoint);
            this.#queue.add(now + way, arrived => {
                const position = this.#replication.positionOf(endpoint, arrived);
                this.#queue.add(arrived + way, answered => this.#report(host, endpoint, position, now, answered));
            });
        }
        this.#queue.add(now + PROBE_MS, next => this.#probe(host, next));
    }

    #report(host: EntryHost, endpoint: number, position: number, sentAt: number, seenAt: number): void {
        if (endpoint === 0) {
            host.primary.record(1, position, sentAt, seenAt);
        }
        else {
            host.replicas.report(`e${endpoint}`, 1, position, sentAt, seenAt, host.primary);
        }
    }

    #choose(read: Read, now: number): RouteDecision {
        const request: RouteRequest = {
            write: false,
            floor: read.floor,
            ageMs: read.ageMs,
            terms: TERMS,
            primaryPositions: read.host.primary,
            arrivedAt: read.arrivedAt,
            deadlineAt: read.arrivedAt + 5_000,
            waitMs: WAIT_MS,
            replicaReads: true,
            leaseValid: true,
            failedEndpoints: read.tried,
        };
        return read.host.router.choose(request, [0, 1, 2].map(index => candidate(read.host, index)), now);
    }

    #complete(read: Read, now: number): RouteDecision {
        const best = [1, 2].map(endpoint => {
            const way = distance(read.host.index, endpoint);
            const oldest = read.ageMs === undefined ? 0 : this.#replication.primaryAt(now + way - read.ageMs);
            const required = Math.max(read.floor ?? 0, oldest);
            const limit = read.arrivedAt + WAIT_MS + way;
            return {
                endpoint,
                at: (this.#replication.reaches(endpoint, required, now + way, limit) ?? Infinity) - way,
            };
        }).sort((left, right) => left.at - right.at)[0]!;
        if (best.at > now && best.at < Infinity) {
            return { kind: "wait", untilMs: best.at };
        }
        return { kind: "send", endpoint: best.at <= now ? `e${best.endpoint}` : "e0", proof: "none", floor: undefined };
    }
}

/** One-way network delay in ms: within a data centre, or between two. */
function distance(host: number, endpoint: number): number {
    return host === endpoint ? 0.2 : 1;
}

function candidate(host: EntryHost, index: number): Candidate {
    const known = host.replicas.of(`e${index}`);
    return {
        endpoint: ENDPOINTS[index]!,
        role: index === 0 ? "primary" : "replica",
        sameDataCentre: host.index === index,
        timeline: known?.timeline,
        knownPosition: known?.position,
        knownAt: known?.at,
        inFlight: host.inFlight[index]!,
        health: "ok",
        lagMs: known?.lagMs,
    };
}

const ENDPOINTS: readonly RegisteredEndpoint[] = [0, 1, 2].map(index => ({
    id: `e${index}`,
    database: "d",
    dataCentre: `c${index}`,
    host: "127.0.0.1",
    port: 1,
    systemIdentifier: "1",
    sequence: 1,
    slots: 3,
    connections: 40,
    state: "active",
}));

/** Measures one strategy at one lag and share of writes. */
export function measureRouting(cell: RoutingCell): RoutingResult {
    return new Model(cell).run();
}
