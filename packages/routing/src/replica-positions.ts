import type { Position } from "@medlarledge/protocol";
import type { PrimaryPositions } from "./primary-positions.js";

/** Last reported replay position of one replica. */
export interface ReplicaPosition {
    readonly timeline: number;
    readonly position: Position;
    /** When the position was queried. */
    readonly at: number;
    /** Estimated replay lag in ms; undefined until reports give a lower bound. */
    readonly lagMs: number | undefined;
}

/** Replay positions that the replicas of one database reported. */
export class ReplicaPositions {
    readonly #replicas = new Map<string, ReplicaPosition>();

    /** The last reported position of an endpoint; undefined before the first report. */
    of(endpoint: string): ReplicaPosition | undefined {
        return this.#replicas.get(endpoint);
    }

    /** Records a position received at `receivedAt` in answer to a query sent at `at`. */
    report(
        endpoint: string,
        timeline: number,
        position: Position,
        at: number,
        receivedAt: number,
        primary: PrimaryPositions,
    ): void {
        const former = this.#replicas.get(endpoint);
        if (former !== undefined && former.timeline === timeline && position < former.position) {
            return;
        }
        const lagMs = estimateLag(former?.lagMs, position, receivedAt, primary);
        this.#replicas.set(endpoint, { timeline, position, at, lagMs });
    }

    /** Discards the position of an endpoint, for example when its address has another system identifier now. */
    forget(endpoint: string): void {
        this.#replicas.delete(endpoint);
    }
}

/**
 * Estimates the replay lag. The time since the primary passed the position is the lower bound; the time since the
 * primary reached it is the upper bound. The former estimate is clamped to these bounds.
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
