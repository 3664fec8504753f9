import type { Position, Term } from "@medlarledge/protocol";
import type { PrimaryPositions, ReplicaPosition, ReplicaPositions } from "./ports.js";

/** What is known of the positions of one database's endpoints. */
export class PositionTracker {
    readonly primary: PrimaryPositions;
    readonly #replicas: ReplicaPositions;
    readonly #queriedAt = new Map<string, number>();

    constructor(primary: PrimaryPositions, replicas: ReplicaPositions) {
        this.primary = primary;
        this.#replicas = replicas;
    }

    /** When the endpoint's position was last asked for and answered. */
    queriedAt(endpoint: string): number | undefined {
        return this.#queriedAt.get(endpoint);
    }

    replica(endpoint: string): ReplicaPosition | undefined {
        return this.#replicas.of(endpoint);
    }

    /** Records the answer that came at `seenAt` to a query sent at `sentAt`. */
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
     * Records a replica's position. Without `timeline` the one last read holds: a replica never returns to an older
     * one, and the router uses it only while it is the current term's.
     * @returns the timeline that the position is on, if it is known
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
