import type { Position } from "@medlarledge/protocol";
import type { Candidate, RouteDecision, RouteRequest } from "./route.js";

/** What a strategy decides on: replicas that may be used, the primary when it may, and the position to reach. */
export interface ReadContext {
    readonly request: RouteRequest;
    readonly required: Position | undefined;
    readonly replicas: readonly Candidate[];
    readonly primary: Candidate | undefined;
    readonly now: number;
    /** Chooses one of several by load and data centre. */
    readonly pick: (candidates: readonly Candidate[]) => Candidate | undefined;
}

/** Returns undefined when the strategy has no place for the read. */
export type RouteStrategy = (context: ReadContext) => RouteDecision | undefined;

export const ROUTE_STRATEGIES = {
    /** Baseline: all reads run on the primary. */
    primaryOnly: sendToPrimary,
    /** A replica whose known position proves the read. */
    knownPositions: context => sendByKnownPosition(context) ?? sendToPrimary(context),
    /** Any replica, with its position queried before the statement. */
    selfProving: context =>
        sendByKnownPosition(context) ?? sendWithPositionQuery(context, context.replicas) ?? sendToPrimary(context),
    /** Known positions, then replicas expected to be there, then a short wait for one, then the primary. */
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
    const proved = replicas.filter(replica => (replica.knownPosition ?? -1) >= (required ?? 0));
    const chosen = pick(proved);
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

/** Replicas that should have replayed the required position by a time, judged by their lag. */
function replicasExpectedBy(context: ReadContext, time: number): readonly Candidate[] {
    return context.replicas.filter(replica => expectedAt(context, replica) <= time);
}

/**
 * A position that this host has not seen at the primary was there at the latest when the request arrived, since the
 * session already had it. A replica that was never seen behind is taken to have no lag: the proof decides.
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
