import type { Position } from "@medlarledge/protocol";
import type { Candidate, RouteDecision, RouteRequest } from "./route.js";

/** Input of a strategy: the usable replicas, the primary if usable, and the position that the read requires. */
export interface ReadContext {
    readonly request: RouteRequest;
    readonly required: Position | undefined;
    readonly replicas: readonly Candidate[];
    readonly primary: Candidate | undefined;
    readonly now: number;
    /** Chooses one of the candidates by load and data centre. */
    readonly pick: (candidates: readonly Candidate[]) => Candidate | undefined;
}

/** Chooses where a read runs; undefined when the strategy finds no endpoint. */
export type RouteStrategy = (context: ReadContext) => RouteDecision | undefined;

export const ROUTE_STRATEGIES = {
    /** Baseline: all reads run on the primary. */
    primaryOnly: sendToPrimary,
    /** A replica whose last known position has reached the required one, else the primary. */
    knownPositions: context => sendByKnownPosition(context) ?? sendToPrimary(context),
    /** A replica whose known position suffices, else one with a position query before the statement, or the primary. */
    selfProving: context =>
        sendByKnownPosition(context) ?? sendWithPositionQuery(context, context.replicas) ?? sendToPrimary(context),
    /**
     * Known positions, then replicas expected to have caught up, then a short wait for one, then the primary, then any
     * replica with a position query.
     */
    combined: context =>
        sendByKnownPosition(context) ?? sendWithPositionQuery(context, replicasExpectedBy(context, context.now))
            ?? waitForReplica(context)
            ?? sendToPrimary(context) ?? sendWithPositionQuery(context, context.replicas),
} as const satisfies Record<string, RouteStrategy>;

export type RouteStrategyName = keyof typeof ROUTE_STRATEGIES;

function sendToPrimary({ primary }: ReadContext): RouteDecision | undefined {
    return primary === undefined
        ? undefined
        : { kind: "send", endpoint: primary.endpoint.id, proof: "none", floor: undefined };
}

function sendByKnownPosition({ required, replicas, pick }: ReadContext): RouteDecision | undefined {
    const caughtUp = replicas.filter(replica => (replica.knownPosition ?? -1) >= (required ?? 0));
    const chosen = pick(caughtUp);
    if (chosen === undefined) {
        return undefined;
    }
    const proof = required === undefined ? "none" : "known";
    return { kind: "send", endpoint: chosen.endpoint.id, proof, floor: required };
}

function sendWithPositionQuery(context: ReadContext, replicas: readonly Candidate[]): RouteDecision | undefined {
    const chosen = context.required === undefined ? undefined : context.pick(replicas);
    return chosen === undefined
        ? undefined
        : { kind: "send", endpoint: chosen.endpoint.id, proof: "self", floor: context.required };
}

/** Returns the replicas expected to have replayed the required position by a time, according to their lag. */
function replicasExpectedBy(context: ReadContext, time: number): readonly Candidate[] {
    return context.replicas.filter(replica => expectedAt(context, replica) <= time);
}

/**
 * Estimates when a replica reaches the required position. If no sample of the primary has reached it, the primary was
 * there when the request arrived at the latest, since the session already had the position. A replica without a lag
 * estimate counts as having no lag: the position query decides.
 */
function expectedAt({ request, required }: ReadContext, replica: Candidate): number {
    const passedAt = request.primaryPositions.reachedAt(required ?? 0) ?? request.arrivedAt;
    return Math.min(passedAt, request.arrivedAt) + (replica.lagMs ?? 0);
}

function waitForReplica(context: ReadContext): RouteDecision | undefined {
    const limit = Math.min(context.request.arrivedAt + context.request.waitMs, context.request.deadlineAt);
    const earliest = Math.min(...context.replicas.map(replica => expectedAt(context, replica)));
    return earliest > context.now && earliest <= limit ? { kind: "wait", untilMs: earliest } : undefined;
}
