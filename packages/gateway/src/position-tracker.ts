import type { PrimaryPositionReport } from "@medlarledge/protocol";
import { PrimaryPositions, ReplicaPositions } from "@medlarledge/routing";
import { compareLogPositions, laterLogPosition, type LogPosition } from "@medlarledge/statements";
import { Consistency, type Route } from "./route.js";

/**
 * A replica that was last seen in an older term is tried again after this time: its READY message shows when it follows
 * the new term.
 */
const TERM_RETRY_MS = 100;

/**
 * A replica that is expected to lag is tried again after this time. Only its answers show that it has caught up, and a
 * lagging replica refuses a read within a round trip.
 */
const LAG_RETRY_MS = 400;

/** A replica that keeps lagging is tried again after at most this time. */
const MAX_LAG_RETRY_MS = 2_000;

/** A replica lags when it is this far behind the primary. Without load, replicas of both users lag at most this long. */
const MIN_LAGGING_MS = 300;

interface ObservedPosition {
    readonly position: LogPosition;
    readonly at: number;
    /** When the lag was first observed; undefined when the last answer showed none. */
    readonly laggingSince: number | undefined;
}

/**
 * Tracks the known log positions of one group's endpoints, and determines the position that an endpoint must have reached
 * for a read to be fresh enough. Times are those of an `ElapsedClock`.
 */
export class PositionTracker {
    readonly #primaryPositions = new PrimaryPositions();
    readonly #replicaPositions = new ReplicaPositions();
    readonly #observed = new Map<string, ObservedPosition>();
    #term = 0;
    #newestAt = Number.NEGATIVE_INFINITY;

    /** Newest known position of the primary; undefined before any is known. */
    get newest(): LogPosition | undefined {
        const number = this.#primaryPositions.latest();
        return number === undefined ? undefined : { term: this.#term, number };
    }

    /**
     * Records the position of the primary from its answer to a message that was sent at `sentAt`: every commit that was
     * acknowledged before `sentAt` lies at or before it.
     */
    recordPrimaryPosition(position: LogPosition, sentAt: number, receivedAt: number): void {
        if (position.term >= this.#term) {
            this.#newestAt = position.term > this.#term ? sentAt : Math.max(sentAt, this.#newestAt);
            this.#term = position.term;
            this.#primaryPositions.record(position.term, position.number, sentAt, receivedAt);
        }
    }

    /** Returns the newest position of the primary and its age in ms; undefined before any is known. */
    primaryPositionReport(now: number): PrimaryPositionReport | undefined {
        const position = this.newest;
        return position === undefined ? undefined : { position, ageMs: Math.max(0, now - this.#newestAt) };
    }

    /** Records that an endpoint's own log has reached `position`. */
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
     * Returns the position that an endpoint's log must have reached for a read on this route; undefined when only the
     * primary can guarantee that the read is fresh.
     * @param floor position of the session's last commit
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

    /** Returns true when an endpoint's log is expected to have reached a position. The endpoint itself checks it again. */
    mayHaveReached(endpoint: string, required: LogPosition, now: number): boolean {
        const observed = this.#observed.get(endpoint);
        if (observed === undefined || compareLogPositions(observed.position, required) >= 0) {
            return true;
        }
        const isOldTerm = observed.position.term < required.term;
        if (isOldTerm || now - observed.at >= lagRetryMs(observed)) {
            return now - observed.at >= TERM_RETRY_MS;
        }
        const passedAt = this.#primaryPositions.reachedAt(required.number) ?? now;
        return passedAt + (this.#replicaPositions.of(endpoint)?.lagMs ?? 0) <= now;
    }

    /** Returns true when an endpoint was far behind the primary in its last answer. */
    isLagging(endpoint: string): boolean {
        return this.#observed.get(endpoint)?.laggingSince !== undefined;
    }

    #isLagging({ term, number }: LogPosition, receivedAt: number): boolean {
        const leftAt = term === this.#term ? this.#primaryPositions.reachedAt(number + 1) : undefined;
        return leftAt !== undefined && receivedAt - leftAt >= MIN_LAGGING_MS;
    }

    /**
     * A floor of an older term may have been rolled back by a promotion. Commits that survived lie at or before the newest
     * position of the current primary.
     */
    #floorInCurrentTerm(floor: LogPosition | undefined): LogPosition | undefined {
        return floor !== undefined && floor.term < this.#term ? this.newest : floor;
    }
}

/** Delay before the next try. Each refusal costs a caller a round trip, so the delay grows with the duration of the lag. */
function lagRetryMs({ at, laggingSince }: ObservedPosition): number {
    const laggedMs = laggingSince === undefined ? 0 : at - laggingSince;
    return Math.min(MAX_LAG_RETRY_MS, Math.max(LAG_RETRY_MS, laggedMs));
}
