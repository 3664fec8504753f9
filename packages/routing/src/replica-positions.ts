import type { Position } from "@medlarledge/protocol";
import type { PrimaryPositions } from "./primary-positions.js";

/** What is known of one replica's replay. */
export interface ReplicaPosition {
    readonly timeline: number;
    readonly position: Position;
    /** When the position was asked for. */
    readonly at: number;
    /** How long after the primary the replica replays; undefined until the reports bound it. */
    readonly lagMs: number | undefined;
}

/** Replay positions that the replicas of one database reported. */
export class ReplicaPositions {
    readonly #replicas = new Map<string, ReplicaPosition>();

    of(endpoint: string): ReplicaPosition | undefined {
        return this.#replicas.get(endpoint);
    }

    /** Takes a position that an endpoint answered at `seenAt` to a query sent at `at`. */
    report(
        endpoint: string,
        timeline: number,
        position: Position,
        at: number,
        seenAt: number,
        primary: PrimaryPositions,
    ): void {
        const former = this.#replicas.get(endpoint);
        if (former !== undefined && former.timeline === timeline && position < former.position) {
            return;
        }
        const lagMs = estimateLag(former?.lagMs, position, seenAt, primary);
        this.#replicas.set(endpoint, { timeline, position, at, lagMs });
    }

    /** Forgets an endpoint, for example when its address came back with another system identifier. */
    forget(endpoint: string): void {
        this.#replicas.delete(endpoint);
    }
}

/**
 * A replica at a position lags at least as long as the primary has been past it, and at most as long as the primary
 * has been at it. The former estimate moves only as far as these bounds demand.
 */
function estimateLag(
    former: number | undefined,
    position: Position,
    at: number,
    primary: PrimaryPositions,
): number | undefined {
    const leftAt = primary.reachedAt(position + 1);
    const reachedAt = primary.reachedAt(position);
    const atLeast = leftAt === undefined ? 0 : Math.max(0, at - leftAt);
    const atMost = reachedAt === undefined ? Infinity : Math.max(atLeast, at - reachedAt);
    if (former !== undefined) {
        return Math.min(Math.max(former, atLeast), atMost);
    }
    return leftAt === undefined ? undefined : atLeast;
}
