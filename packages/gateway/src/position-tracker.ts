import type { PrimaryPositionReport } from "@medlarledge/protocol";
import { PrimaryPositions, ReplicaPositions } from "@medlarledge/routing";
import { compareLogPositions, laterLogPosition, type LogPosition } from "@medlarledge/statements";
import { Consistency, type Route } from "./route.js";

/** A replica of an older term is asked again after this time: its READY tells when it follows the new one. */
const TERM_RETRY_MS = 100;

/**
 * A replica that is expected to lag is asked again after this time. Only its answers tell that it has caught up, and one
 * that lags refuses a read within a round trip.
 */
const LAG_RETRY_MS = 400;

/** A replica that goes on lagging is asked at least this often. */
const MAX_LAG_RETRY_MS = 2_000;

/** Replicas this far behind their leader lag; the lag of both users' replicas is at most as long in quiet times. */
const MIN_LAGGING_MS = 300;

interface ObservedPosition {
    readonly position: LogPosition;
    readonly at: number;
    /** When the endpoint was first seen to lag, without having been seen to follow closely since. */
    readonly laggingSince: number | undefined;
}

/**
 * What is known of the positions in one group's log, and what a read must demand of an endpoint to be fresh enough.
 * Times are those of an `ElapsedClock`.
 */
export class PositionTracker {
    readonly #primaryPositions = new PrimaryPositions();
    readonly #replicaPositions = new ReplicaPositions();
    readonly #observed = new Map<string, ObservedPosition>();
    #term = 0;
    #newestAt = Number.NEGATIVE_INFINITY;

    /** Newest position of the leader that is known. */
    get newest(): LogPosition | undefined {
        const number = this.#primaryPositions.latest();
        return number === undefined ? undefined : { term: this.#term, number };
    }

    /**
     * The leader was at `position` in an answer to something sent at `askedAt`: every commit acknowledged before
     * `askedAt` lies at or before it.
     */
    recordPrimaryPosition(position: LogPosition, sentAt: number, receivedAt: number): void {
        if (position.term >= this.#term) {
            this.#newestAt = position.term > this.#term ? sentAt : Math.max(sentAt, this.#newestAt);
            this.#term = position.term;
            this.#primaryPositions.record(position.term, position.number, sentAt, receivedAt);
        }
    }

    /** The newest position of the leader and its age; undefined before any is known. */
    primaryPositionReport(now: number): PrimaryPositionReport | undefined {
        const position = this.newest;
        return position === undefined ? undefined : { position, ageMs: Math.max(0, now - this.#newestAt) };
    }

    /** An endpoint's own log has reached `position`. */
    recordEndpointPosition(endpoint: string, position: LogPosition, sentAt: number, receivedAt: number): void {
        const { term, number } = position;
        const laggingSince = this.#isLagging(position, receivedAt)
            ? this.#observed.get(endpoint)?.laggingSince ?? receivedAt
            : undefined;
        this.#observed.set(endpoint, { position, at: receivedAt, laggingSince });
        this.#replicaPositions.report(endpoint, term, number, sentAt, receivedAt, this.#primaryPositions);
    }

    forget(endpoint: string): void {
        this.#observed.delete(endpoint);
        this.#replicaPositions.forget(endpoint);
    }

    /**
     * The position that an endpoint's log must have reached for a read on this route. Undefined when only the leader
     * can prove that the read is fresh.
     * @param floor the session's last commit
     */
    required(route: Route, floor: LogPosition | undefined, now: number): LogPosition | undefined {
        if (route.consistency === Consistency.Primary) {
            return undefined;
        }
        const number = this.#primaryPositions.positionWithin(route.maxStalenessMs, now);
        if (number === undefined) {
            return undefined;
        }
        const requiredBySession = route.consistency === Consistency.Session
            ? this.#floorInCurrentTerm(floor)
            : undefined;
        return laterLogPosition({ term: this.#term, number }, requiredBySession);
    }

    /** Whether an endpoint's log is expected to have reached a position. The endpoint itself decides in the end. */
    mayHaveReached(endpoint: string, required: LogPosition, now: number): boolean {
        const observed = this.#observed.get(endpoint);
        if (observed === undefined || compareLogPositions(observed.position, required) >= 0) {
            return true;
        }
        const isOldTerm = observed.position.term < required.term;
        if (isOldTerm || now - observed.at >= lagRetryMs(observed)) {
            return now - observed.at >= TERM_RETRY_MS;
        }
        const passedAt = this.#primaryPositions.passedAt(required.number) ?? now;
        return passedAt + (this.#replicaPositions.of(endpoint)?.lagMs ?? 0) <= now;
    }

    /** Whether an endpoint was far behind its leader when it last answered. */
    isLagging(endpoint: string): boolean {
        return this.#observed.get(endpoint)?.laggingSince !== undefined;
    }

    #isLagging({ term, number }: LogPosition, receivedAt: number): boolean {
        const leftAt = term === this.#term ? this.#primaryPositions.passedAt(number + 1) : undefined;
        return leftAt !== undefined && receivedAt - leftAt >= MIN_LAGGING_MS;
    }

    /** A floor of an older term may have been rolled back with it; whatever was kept lies before the present leader's. */
    #floorInCurrentTerm(floor: LogPosition | undefined): LogPosition | undefined {
        return floor !== undefined && floor.term < this.#term ? this.newest : floor;
    }
}

/** Each refusal costs a caller a round trip, so a replica is asked less often the longer it has been lagging. */
function lagRetryMs({ at, laggingSince }: ObservedPosition): number {
    const laggedMs = laggingSince === undefined ? 0 : at - laggingSince;
    return Math.min(MAX_LAG_RETRY_MS, Math.max(LAG_RETRY_MS, laggedMs));
}
