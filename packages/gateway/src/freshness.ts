import type { PrimaryPositionReport } from "@medlarledge/protocol";
import { PrimaryPositions, ReplicaPositions } from "@medlarledge/routing";
import { compareLogPositions, laterLogPosition, type LogPosition } from "@medlarledge/statements";
import { Consistency, type Route } from "./route.js";

/** A replica of an older term is asked again after this time: its READY tells when it follows the new one. */
const TERM_TRIAL_MS = 100;

/**
 * A replica that is expected to lag is asked again after this time. Only its answers tell that it has caught up, and one
 * that lags refuses a read within a round trip.
 */
const LAG_TRIAL_MS = 400;

/** A replica that goes on lagging is asked at least this often. */
const MOST_LAG_TRIAL_MS = 2_000;

/** Replicas this far behind their leader lag; the lag of both users' replicas is at most as long in quiet times. */
const LAGGING_MS = 300;

interface Seen {
    readonly position: LogPosition;
    readonly at: number;
    /** When the endpoint was first seen to lag, without having been seen to follow closely since. */
    readonly laggingSince: number | undefined;
}

/**
 * What is known of the positions in one group's log, and what a read must demand of an endpoint to be fresh enough.
 * Times are those of an `ElapsedClock`.
 */
export class Freshness {
    readonly #leader = new PrimaryPositions();
    readonly #replicas = new ReplicaPositions();
    readonly #seen = new Map<string, Seen>();
    #term = 0;
    #newestAt = Number.NEGATIVE_INFINITY;

    /** Newest position of the leader that is known. */
    get newest(): LogPosition | undefined {
        const number = this.#leader.latest();
        return number === undefined ? undefined : { term: this.#term, number };
    }

    /**
     * The leader was at `position` in an answer to something sent at `askedAt`: every commit acknowledged before
     * `askedAt` lies at or before it.
     */
    leaderAt(position: LogPosition, askedAt: number, seenAt: number): void {
        if (position.term >= this.#term) {
            this.#newestAt = position.term > this.#term ? askedAt : Math.max(askedAt, this.#newestAt);
            this.#term = position.term;
            this.#leader.record(position.term, position.number, askedAt, seenAt);
        }
    }

    /** The newest position of the leader and its age; undefined before any is known. */
    leaderKnowledge(now: number): PrimaryPositionReport | undefined {
        const position = this.newest;
        return position === undefined ? undefined : { position, ageMs: Math.max(0, now - this.#newestAt) };
    }

    /** An endpoint's own log has reached `position`. */
    endpointAt(endpoint: string, position: LogPosition, askedAt: number, seenAt: number): void {
        const { term, number } = position;
        const laggingSince = this.#isLagging(position, seenAt)
            ? this.#seen.get(endpoint)?.laggingSince ?? seenAt
            : undefined;
        this.#seen.set(endpoint, { position, at: seenAt, laggingSince });
        this.#replicas.report(endpoint, term, number, askedAt, seenAt, this.#leader);
    }

    forget(endpoint: string): void {
        this.#seen.delete(endpoint);
        this.#replicas.forget(endpoint);
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
        const number = this.#leader.positionWithin(route.maxStalenessMs, now);
        if (number === undefined) {
            return undefined;
        }
        const demanded = route.consistency === Consistency.Session ? this.#present(floor) : undefined;
        return laterLogPosition({ term: this.#term, number }, demanded);
    }

    /** Whether an endpoint's log is expected to have reached a position. The endpoint itself decides in the end. */
    mayHold(endpoint: string, required: LogPosition, now: number): boolean {
        const seen = this.#seen.get(endpoint);
        if (seen === undefined || compareLogPositions(seen.position, required) >= 0) {
            return true;
        }
        const isOldTerm = seen.position.term < required.term;
        if (isOldTerm || now - seen.at >= lagTrialMs(seen)) {
            return now - seen.at >= TERM_TRIAL_MS;
        }
        const passedAt = this.#leader.reachedAt(required.number) ?? now;
        return passedAt + (this.#replicas.of(endpoint)?.lagMs ?? 0) <= now;
    }

    /** Whether an endpoint was far behind its leader when it last answered. */
    lags(endpoint: string): boolean {
        return this.#seen.get(endpoint)?.laggingSince !== undefined;
    }

    #isLagging({ term, number }: LogPosition, seenAt: number): boolean {
        const leftAt = term === this.#term ? this.#leader.reachedAt(number + 1) : undefined;
        return leftAt !== undefined && seenAt - leftAt >= LAGGING_MS;
    }

    /** A floor of an older term may have been rolled back with it; whatever was kept lies before the present leader's. */
    #present(floor: LogPosition | undefined): LogPosition | undefined {
        return floor !== undefined && floor.term < this.#term ? this.newest : floor;
    }
}

/** Each refusal costs a caller a round trip, so a replica is asked less often the longer it has been lagging. */
function lagTrialMs({ at, laggingSince }: Seen): number {
    const laggedMs = laggingSince === undefined ? 0 : at - laggingSince;
    return Math.min(MOST_LAG_TRIAL_MS, Math.max(LAG_TRIAL_MS, laggedMs));
}
