import type { Position, Term } from "@medlarledge/protocol";
import type { PrimaryPositions, ReplicaPosition, ReplicaPositions } from "./ports.js";

/** Newest known log positions of one database's endpoints. */
export class PositionTracker {
    readonly primary: PrimaryPositions;
    readonly #replicas: ReplicaPositions;
    readonly #queriedAt = new Map<string, number>();

    constructor(primary: PrimaryPositions, replicas: ReplicaPositions) {
        this.primary = primary;
        this.#replicas = replicas;
    }

    /** When the last successful position query of the endpoint was sent. */
    queriedAt(endpoint: string): number | undefined {
        return this.#queriedAt.get(endpoint);
    }

    replica(endpoint: string): ReplicaPosition | undefined {
        return this.#replicas.of(endpoint);
    }

    /** Records the primary's position, received at `receivedAt` for a query sent at `sentAt`, if the lease is valid. */
    observePrimary(
        endpoint: string,
        term: Term,
        position: Position,
        sentAt: number,
        receivedAt: number,
        leaseValid: boolean,
    ): void {
        this.#queriedAt.set(endpoint, sentAt);
        if (leaseValid) {
            this.primary.record(term, position, sentAt, receivedAt);
        }
    }

    /**
     * Records a replica's position. Without `timeline` the last known one is assumed: a replica never returns to an
     * older timeline, and the router uses the replica only while its timeline is that of the current term.
     * @returns the timeline of the position, or undefined when it is unknown and nothing was recorded
     */
    observeReplica(
        endpoint: string,
        position: Position,
        sentAt: number,
        receivedAt: number,
        timeline?: number,
    ): number | undefined {
        const knownTimeline = timeline ?? this.#replicas.of(endpoint)?.timeline;
        if (knownTimeline !== undefined) {
            this.#queriedAt.set(endpoint, sentAt);
            this.#replicas.report(endpoint, knownTimeline, position, sentAt, receivedAt, this.primary);
        }
        return knownTimeline;
    }

    forget(endpoint: string): void {
        this.#queriedAt.delete(endpoint);
        this.#replicas.forget(endpoint);
    }
}
