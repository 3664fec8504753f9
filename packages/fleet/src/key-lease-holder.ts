import { KeyLease } from "@medlarledge/customers";
import { ElapsedClock } from "@medlarledge/gateway";
import type { FreshnessAnswer, FreshnessRequest, Host } from "@medlarledge/protocol";
import type { Clock } from "@medlarledge/runtime";

export interface KeyLeaseHolderOptions {
    readonly self: Host;
    readonly clock: Clock;
    /** Time after the acknowledgement of a configuration at which the keys that it lacks must not work anywhere. */
    readonly revocationMs: number;
    /** Sends a question towards the leader; over several ways if the one before it was not answered. */
    readonly send: (request: FreshnessRequest, isRepeated: boolean) => void;
}

/** Holds an entry host's permission to accept keys. Nothing is sent while the configuration has no customers. */
export class KeyLeaseHolder {
    readonly #options: KeyLeaseHolderOptions;
    readonly #elapsed: ElapsedClock;
    readonly #lease: KeyLease;
    #isNeeded = false;

    constructor(options: KeyLeaseHolderOptions) {
        this.#options = options;
        this.#elapsed = new ElapsedClock(options.clock);
        this.#lease = new KeyLease(options.revocationMs);
    }

    /** Returns true while the keys of the configuration in force may be accepted. */
    acceptsKeys(): boolean {
        return !this.#isNeeded || this.#lease.acceptsKeys(this.#elapsed.now());
    }

    /** Returns true when keys will not be accepted for another `marginMs`, or half of the lease if that is less. */
    endsWithin(marginMs: number): boolean {
        const limitMs = Math.min(marginMs, this.#lease.validMs / 2);
        return this.#isNeeded && this.#lease.remainingMs(this.#elapsed.now()) < limitMs;
    }

    /** Asks for the newest configuration if a question is due; to be called about every 50 ms. */
    tick(): void {
        const question = this.#isNeeded ? this.#lease.nextRequest(this.#elapsed.now()) : undefined;
        if (question !== undefined) {
            const { id: host, incarnation } = this.#options.self;
            const { sequence, isRepeated } = question;
            this.#options.send({ kind: "freshnessRequest", host, incarnation, sequence }, isRepeated);
        }
    }

    /** Asks at once, for example a new leader. */
    requestNow(): void {
        this.#lease.requestNow();
        this.tick();
    }

    answered({ incarnation, sequence, number }: FreshnessAnswer): void {
        if (incarnation === this.#options.self.incarnation) {
            this.#lease.answered(sequence, number);
        }
    }

    /** Records the configuration that is in force from now on. */
    configured(number: number, hasCustomers: boolean): void {
        this.#isNeeded = hasCustomers;
        this.#lease.configured(number);
        this.tick();
    }
}
