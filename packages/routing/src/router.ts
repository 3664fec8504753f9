import { EndpointRole, EndpointState, type Position, type TermRecord } from "@medlarledge/protocol";
import { isOnLineage } from "@medlarledge/session";
import { Random } from "./random.js";
import { ROUTE_STRATEGIES, type RouteStrategy, type RouteStrategyName } from "./route-strategies.js";
import { type Candidate, RefusalReason, type RouteDecision, type RouteRequest } from "./route.js";
import { type Spread, type SpreadName, SPREADS } from "./spread.js";

export interface RouterOptions {
    /** Name of a strategy in `ROUTE_STRATEGIES`, or the strategy itself, for measurements. */
    readonly strategy: RouteStrategyName | RouteStrategy;
    readonly spread: SpreadName;
    /** Subtracted from the maximum age: the longest time between the decision and the start of the statement. */
    readonly ageMarginMs: number;
    readonly seed: number;
}

/** Chooses the endpoint of a request. */
export class Router {
    readonly #strategy: RouteStrategy;
    readonly #spread: Spread;
    readonly #ageMarginMs: number;
    readonly #random: Random;

    constructor(options: RouterOptions) {
        this.#strategy = typeof options.strategy === "string" ? ROUTE_STRATEGIES[options.strategy] : options.strategy;
        this.#spread = SPREADS[options.spread];
        this.#ageMarginMs = options.ageMarginMs;
        this.#random = new Random(options.seed);
    }

    /** Decides where a request runs, or whether it waits or is refused. */
    choose(request: RouteRequest, candidates: readonly Candidate[], now: number): RouteDecision {
        if (now >= request.deadlineAt) {
            return refuse(RefusalReason.Deadline);
        }
        if (!request.leaseValid && (request.write || request.ageMs === undefined)) {
            return refuse(RefusalReason.CutOff);
        }
        const primary = request.leaseValid ? usablePrimary(request, candidates) : undefined;
        return request.write ? sendToPrimary(primary, request) : this.#read(request, candidates, primary, now);
    }

    #read(
        request: RouteRequest,
        candidates: readonly Candidate[],
        primary: Candidate | undefined,
        now: number,
    ): RouteDecision {
        const age = request.ageMs === undefined
            ? undefined
            : request.primaryPositions.positionWithin(request.ageMs - this.#ageMarginMs, now);
        if (request.ageMs !== undefined && age === undefined) {
            return primary === undefined ? refuse(RefusalReason.AgeUnproved) : sendToPrimary(primary, request);
        }
        const required = highest(request.floor, age);
        const replicas = request.replicaReads ? usableReplicas(request, candidates) : [];
        const pick = (eligible: readonly Candidate[]) => this.#spread(eligible, this.#random);
        const context = { request, required, primary, now, pick };
        const probing = replicas.filter(replica => replica.health === "probing" && replica.inFlight === 0);
        const trial = probing.length > 0 ? this.#strategy({ ...context, replicas: probing }) : undefined;
        if (trial?.kind === "send" && trial.endpoint !== primary?.endpoint.id) {
            return trial;
        }
        const healthy = replicas.filter(replica => replica.health === "ok");
        // Without a primary, a slow replica is better than none.
        const decision = this.#strategy({ ...context, replicas: healthy })
            ?? this.#strategy({ ...context, replicas });
        return decision ?? waitOrRefuse(request);
    }
}

/** Whether a position queried before the statement satisfies the read: reached, and on the current lineage. */
export function proofHolds(
    terms: readonly TermRecord[],
    timeline: number,
    position: Position,
    floor: Position | undefined,
): boolean {
    return position >= (floor ?? 0) && isOnLineage(terms, timeline, position);
}

/** Returns the primary if its term has started. A leaving primary is used until control has chosen another one. */
function usablePrimary(request: RouteRequest, candidates: readonly Candidate[]): Candidate | undefined {
    const term = request.terms.at(-1);
    if (term?.start === undefined) {
        return undefined;
    }
    return candidates.find(candidate =>
        candidate.endpoint.id === term.primary && candidate.role === EndpointRole.Primary
        && candidate.endpoint.state !== EndpointState.Left && !request.failedEndpoints.includes(candidate.endpoint.id)
    );
}

function usableReplicas(request: RouteRequest, candidates: readonly Candidate[]): readonly Candidate[] {
    return candidates.filter(candidate =>
        candidate.role === EndpointRole.Replica && candidate.endpoint.state === EndpointState.Active
        && !request.failedEndpoints.includes(candidate.endpoint.id) && isOnCurrentTimeline(request.terms, candidate)
    );
}

/**
 * Whether a replica is known to follow the timeline of the newest started term. A replica last reported on an older
 * timeline is excluded even before the fork: it may replay discarded log past the fork while a statement runs.
 */
function isOnCurrentTimeline(terms: readonly TermRecord[], candidate: Candidate): boolean {
    const { timeline, knownPosition } = candidate;
    const started = terms.findLast(term => term.start !== undefined);
    return timeline !== undefined && timeline === started?.timeline && knownPosition !== undefined
        && isOnLineage(terms, timeline, knownPosition);
}

/** Without a usable primary the request waits: nothing has run, and the next term usually starts in time. */
function sendToPrimary(primary: Candidate | undefined, request: RouteRequest): RouteDecision {
    return primary === undefined
        ? waitOrRefuse(request)
        : { kind: "send", endpoint: primary.endpoint.id, proof: "none", floor: undefined };
}

function waitOrRefuse(request: RouteRequest): RouteDecision {
    return request.leaseValid ? { kind: "wait", untilMs: request.deadlineAt } : refuse(RefusalReason.NoEndpoint);
}

function highest(left: Position | undefined, right: Position | undefined): Position | undefined {
    return left === undefined || right === undefined ? left ?? right : Math.max(left, right);
}

function refuse(reason: RefusalReason): RouteDecision {
    return { kind: "refuse", reason };
}
