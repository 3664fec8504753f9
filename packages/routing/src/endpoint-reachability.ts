/** How an endpoint answers this process. */
export const Reachability = {
    Reachable: "reachable",
    /** It closed or refused connections. */
    Closed: "closed",
    /** It does not answer. */
    Silent: "silent",
    /** Another endpoint answers at its address. */
    Replaced: "replaced",
} as const;
export type Reachability = (typeof Reachability)[keyof typeof Reachability];

/** Unreachable endpoints are tried again after this time. */
export const UNREACHABLE_RETRY_MS = 200;

/** Whether one endpoint can be reached, judged by its answers and by failed connections. */
export class EndpointReachability {
    #reach: Reachability = Reachability.Reachable;
    #since = 0;
    #triedAt = Number.NEGATIVE_INFINITY;
    #answeredAt = Number.NEGATIVE_INFINITY;

    get reach(): Reachability {
        return this.#reach;
    }

    /** When the present state began. */
    get since(): number {
        return this.#since;
    }

    get answeredAt(): number {
        return this.#answeredAt;
    }

    get isReachable(): boolean {
        return this.#reach === Reachability.Reachable;
    }

    /** Returns true when this changes the state. */
    answered(now: number): boolean {
        this.#answeredAt = now;
        return this.#enter(Reachability.Reachable, now);
    }

    /** Returns true when this changes the state. */
    failed(reach: Exclude<Reachability, "reachable">, now: number): boolean {
        this.#triedAt = now;
        return this.#enter(reach, now);
    }

    /** True when an unreachable endpoint should be tried again. Counts as the attempt. */
    isTrialDue(now: number): boolean {
        if (this.isReachable || now - this.#triedAt < UNREACHABLE_RETRY_MS) {
            return false;
        }
        this.#triedAt = now;
        return true;
    }

    #enter(reach: Reachability, now: number): boolean {
        if (reach === this.#reach) {
            return false;
        }
        this.#reach = reach;
        this.#since = now;
        return true;
    }
}
