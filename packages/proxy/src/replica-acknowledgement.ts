import type { Position, Term } from "@medlarledge/protocol";
import type { Schedule } from "./ports.js";

const POLL_INTERVAL_MS = 2;

interface WaitingWrite {
    readonly term: Term;
    readonly position: Position;
    readonly reached: () => void;
}

/** Queries the positions of all replicas; each result is passed to `ReplicaAcknowledgement.observe`. */
export type QueryReplicas = () => void;

/** Tracks the writes of one database that wait until a replica reached their position. */
export class ReplicaAcknowledgement {
    readonly #queryReplicas: QueryReplicas;
    readonly #schedule: Schedule;
    readonly #waiting = new Set<WaitingWrite>();
    #cancelPoll: (() => void) | undefined;

    constructor(queryReplicas: QueryReplicas, schedule: Schedule) {
        this.#queryReplicas = queryReplicas;
        this.#schedule = schedule;
    }

    /** Calls `reached` once a replica has the position. Returns a function that cancels the wait. */
    wait(term: Term, position: Position, reached: () => void): () => void {
        const write = { term, position, reached };
        this.#waiting.add(write);
        if (this.#cancelPoll === undefined) {
            this.#poll();
        }
        return () => {
            this.#waiting.delete(write);
        };
    }

    /** Records a replica's position; `term` is the term in which the query was sent. */
    observe(position: Position, term: Term): void {
        for (const write of this.#waiting) {
            if (write.term === term && write.position <= position) {
                this.#waiting.delete(write);
                write.reached();
            }
        }
    }

    /** Number of writes that wait for a replica. */
    waiting(): number {
        return this.#waiting.size;
    }

    stop(): void {
        this.#waiting.clear();
        this.#cancelPoll?.();
    }

    #poll(): void {
        if (this.#waiting.size === 0) {
            this.#cancelPoll = undefined;
            return;
        }
        this.#cancelPoll = this.#schedule(POLL_INTERVAL_MS, () => {
            this.#poll();
        });
        this.#queryReplicas();
    }
}
