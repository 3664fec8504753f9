import type { LogPosition } from "@medlarledge/statements";
import { eligibleTargets, type ReadChoice, type ReadTarget } from "./read-choice.js";

/**
 * Factor on the share of an endpoint in another data centre, since links between data centres are slower and shared by
 * all. It is a factor rather than a limit, so that reads move gradually when the endpoints of the own data centre become
 * slower.
 */
const REMOTE_FACTOR = 0.5;

/** Reaction to failures: an endpoint that fails half of its orders gets an eighth of its share. */
const RELIABILITY_EXPONENT = 3;

/** Share of the reads of a failing endpoint that remains, so that its recovery is noticed without probes. */
const MIN_RELIABILITY = 0.02;

/** Maximum number of reads by which an endpoint may be ahead of its share or behind it. */
const MAX_BALANCE = 1;

/** Why a read went to its endpoint. */
export const ChoiceReason = {
    /** By the shares of the endpoints that can serve it. */
    Share: "share",
    /** No other endpoint can serve it. */
    Only: "only",
    /** Only the primary can prove that it is fresh. */
    Proof: "proof",
} as const;
export type ChoiceReason = (typeof ChoiceReason)[keyof typeof ChoiceReason];

/** An endpoint with what is known of its load. */
export interface LoadedTarget extends ReadTarget {
    readonly slots: number;
    /** Share of recent orders that failed or were left unanswered. */
    readonly failureShare: number;
}

export interface LoadAwareSelection {
    readonly required: LogPosition | undefined;
    readonly targets: readonly LoadedTarget[];
    /** Factor on the share of reads of the primary; see `PrimaryWork`. */
    readonly primaryFactor: number;
}

/**
 * Divides the reads of one host among the endpoints of a group in proportion to their expected capacity. Shares change
 * smoothly with the estimates, so that many hosts with the same old information do not all choose the same endpoint.
 * Balances carry over what an endpoint got above or below its share; they start at random, so that hosts that start
 * together do not choose in step.
 */
export class LoadAwareChoice {
    readonly #random: () => number;
    /** Reads by which each endpoint is behind its share. */
    readonly #balances = new Map<string, number>();
    #shares: ReadonlyMap<string, number> = new Map();
    #last: { readonly endpoint: string; readonly reason: ChoiceReason; } | undefined;

    constructor(random: () => number) {
        this.#random = random;
    }

    /** Chooses an endpoint for a read; undefined when no target can serve it. */
    choose({ required, targets, primaryFactor }: LoadAwareSelection): ReadChoice | undefined {
        if (required === undefined) {
            const primary = targets.find(target => target.isPrimary)?.id;
            this.#shares = new Map();
            this.#last = primary === undefined ? undefined : { endpoint: primary, reason: ChoiceReason.Proof };
            return primary === undefined ? undefined : { endpoint: primary, opening: { kind: "proven" } };
        }
        const eligible = eligibleTargets(targets);
        const weights = eligible.map(target => weightOf(target, primaryFactor));
        const total = weights.reduce((sum, weight) => sum + weight, 0);
        this.#shares = new Map(eligible.map(({ id }, index) => [id, (weights[index] ?? 0) / total]));
        let best: string | undefined;
        let highest = Number.NEGATIVE_INFINITY;
        for (const [id, share] of this.#shares) {
            const due = share + this.#balance(id);
            if (due > highest) {
                best = id;
                highest = due;
            }
        }
        if (best === undefined) {
            this.#last = undefined;
            return undefined;
        }
        this.#last = { endpoint: best, reason: eligible.length > 1 ? ChoiceReason.Share : ChoiceReason.Only };
        return { endpoint: best, opening: { kind: "bare", after: required } };
    }

    /**
     * Records that an order was sent to an endpoint. Returns the reason when it is the read of the last choice, and
     * undefined for other orders.
     */
    sent(endpoint: string): ChoiceReason | undefined {
        const last = this.#last;
        if (last?.endpoint !== endpoint) {
            return undefined;
        }
        this.#last = undefined;
        for (const [id, share] of this.#shares) {
            const balance = this.#balance(id) + share - (id === endpoint ? 1 : 0);
            this.#balances.set(id, Math.max(-MAX_BALANCE, Math.min(MAX_BALANCE, balance)));
        }
        this.#shares = new Map();
        return last.reason;
    }

    /** Discards the balance of an endpoint that has left. */
    forget(endpoint: string): void {
        this.#balances.delete(endpoint);
    }

    #balance(id: string): number {
        const known = this.#balances.get(id);
        if (known !== undefined) {
            return known;
        }
        const initial = this.#random() - 0.5;
        this.#balances.set(id, initial);
        return initial;
    }
}

function weightOf(
    { slots, expectedMs, isLocal, isPrimary, failureShare }: LoadedTarget,
    primaryFactor: number,
): number {
    const reliability = Math.max(MIN_RELIABILITY, (1 - failureShare) ** RELIABILITY_EXPONENT);
    const place = isLocal ? 1 : REMOTE_FACTOR;
    return Math.max(1, slots) / Math.max(1, expectedMs) * reliability * place * (isPrimary ? primaryFactor : 1);
}
