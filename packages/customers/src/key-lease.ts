/**
 * Part of the revocation time that is left unused. It covers clocks that run at different rates: 200 ms is 4 % of a
 * revocation time of 5 s.
 */
const MARGIN_MS = 200;

/** Interval of the questions for the newest configuration; short against revocation times of some seconds. */
const REQUEST_INTERVAL_MS = 500;

/** Questions within the validity of one proof, at least, so that a few lost messages do not end the lease. */
const REQUESTS_PER_VALIDITY = 5;

/** A confirmed statement that, at some time after `sentAt`, no configuration newer than `number` was acknowledged. */
interface Proof {
    readonly sentAt: number;
    readonly number: number;
}

/** A question to send. */
export interface FreshnessQuestion {
    readonly sequence: number;
    /** Whether the question before it has not been answered. */
    readonly isRepeated: boolean;
}

/**
 * A host's permission to accept keys: it lasts as long as no key of the configuration in force can have been revoked
 * for longer than the revocation time. The host asks the leader of the control group for the number of the newest
 * committed configuration. The permission counts from the time at which the host sent the question, and only if the
 * configuration in force is at least as new as the one in the answer. Times are those of a clock that also advances
 * while the machine is suspended.
 */
export class KeyLease {
    readonly #validMs: number;
    readonly #requestIntervalMs: number;
    /** Times at which the unanswered questions were sent, by sequence. */
    readonly #questions = new Map<number, number>();
    /** The latest proof, and earlier ones that apply to lower numbers, from the earliest to the latest. */
    #proofs: readonly Proof[] = [];
    #number = 0;
    #lastSequence = 0;
    #isAnswered = true;
    #nextRequestAt = Number.NEGATIVE_INFINITY;

    constructor(revocationMs: number) {
        this.#validMs = Math.max(0, revocationMs - MARGIN_MS);
        this.#requestIntervalMs = Math.min(REQUEST_INTERVAL_MS, this.#validMs / REQUESTS_PER_VALIDITY);
    }

    /** Longest time for which one proof is valid. */
    get validMs(): number {
        return this.#validMs;
    }

    /** Returns the question to send if one is due. */
    nextRequest(now: number): FreshnessQuestion | undefined {
        if (now < this.#nextRequestAt) {
            return undefined;
        }
        for (const [sequence, sentAt] of this.#questions) {
            if (now - sentAt > this.#validMs) {
                this.#questions.delete(sequence);
            }
        }
        const isRepeated = !this.#isAnswered;
        this.#isAnswered = false;
        this.#nextRequestAt = now + this.#requestIntervalMs;
        this.#lastSequence += 1;
        this.#questions.set(this.#lastSequence, now);
        return { sequence: this.#lastSequence, isRepeated };
    }

    /** Makes a question due, for a new leader. */
    requestNow(): void {
        this.#nextRequestAt = Number.NEGATIVE_INFINITY;
    }

    /** Applies the answer to a question: `number` was the newest committed configuration after it was sent. */
    answered(sequence: number, number: number): void {
        const sentAt = this.#questions.get(sequence);
        if (sentAt === undefined) {
            return;
        }
        this.#questions.delete(sequence);
        this.#isAnswered ||= sequence === this.#lastSequence;
        this.#proofs = [...this.#proofs, { sentAt, number }].sort((left, right) => left.sentAt - right.sentAt);
        this.#removeSuperseded();
    }

    /** Records the number of the configuration that is in force from now on. */
    configured(number: number): void {
        this.#number = Math.max(this.#number, number);
        this.#removeSuperseded();
    }

    /** Returns true while keys of the configuration in force may be accepted. */
    acceptsKeys(now: number): boolean {
        return this.remainingMs(now) > 0;
    }

    /** Time until the lease ends unless it is extended, in ms; 0 when it has ended. */
    remainingMs(now: number): number {
        const proof = this.#latestProof();
        return proof === undefined ? 0 : Math.max(0, proof.sentAt + this.#validMs - now);
    }

    #latestProof(): Proof | undefined {
        return this.#proofs.filter(({ number }) => number <= this.#number).at(-1);
    }

    /** Removes the proofs that a later one with the same or a lower number replaces. */
    #removeSuperseded(): void {
        const latest = this.#latestProof();
        const remaining = this.#proofs.filter(proof => latest === undefined || proof.sentAt >= latest.sentAt);
        // Of the proofs for configurations that have not arrived yet, only the latest for each number can be of use.
        const latestByNumber = new Map(remaining.map(proof => [proof.number, proof]));
        this.#proofs = [...latestByNumber.values()].sort((left, right) => left.sentAt - right.sentAt);
    }
}
