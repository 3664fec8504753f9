/** Whether an endpoint answers this process and, if not, how its connections fail. */
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

/** Interval between connection attempts to an unreachable endpoint. */
export const UNREACHABLE_RETRY_MS = 200;

/** Tracks whether one endpoint can be reached, by its answers and by failed connections. */
export class EndpointReachability {
    #reach: Reachability = Reachability.Reachable;
    #since = 0;
    #triedAt = Number.NEGATIVE_INFINITY;
    #answeredAt = Number.NEGATIVE_INFINITY;

    get reach(): Reachability {
        return this.#reach;
    }

    /** Start of the present state. */
    get since(): number {
        return this.#since;
    }

    /** Time of the last answer; negative infinity before the first. */
    get answeredAt(): number {
        return this.#answeredAt;
    }

    /** False before the first answer and the first failure, when the endpoint is only assumed to be reachable. */
    get isKnown(): boolean {
        return !this.isReachable || Number.isFinite(this.#answeredAt);
    }

    get isReachable(): boolean {
        return this.#reach === Reachability.Reachable;
    }

    /** Records an answer. Returns true when this changes the state. */
    answered(now: number): boolean {
        this.#answeredAt = now;
        return this.#enter(Reachability.Reachable, now);
    }

    /** Records a failed connection or a missing answer. Returns true when this changes the state. */
    failed(reach: Exclude<Reachability, "reachable">, now: number): boolean {
        this.#triedAt = now;
        return this.#enter(reach, now);
    }

    /** Returns true when an unreachable endpoint should be tried again, and counts this call as the attempt. */
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
