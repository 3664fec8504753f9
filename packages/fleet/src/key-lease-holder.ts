import { KeyLease } from "@medlarledge/customers";
import { ElapsedClock } from "@medlarledge/gateway";
import type { FreshnessAnswer, FreshnessRequest, Host, Message } from "@medlarledge/protocol";
import type { Clock } from "@medlarledge/runtime";

export interface KeyLeaseHolderOptions {
    readonly self: Host;
    readonly clock: Clock;
    /** Time after the acknowledgement of a configuration at which the keys that it lacks must not work anywhere. */
    readonly revocationMs: number;
    /** Id of the leader of the control group; undefined while it is not known. */
    readonly leader: () => string | undefined;
    /** The linked control hosts. */
    readonly control: () => readonly Host[];
    /** Returns false when there is no link to the host. */
    readonly send: (host: string, message: Message) => boolean;
    /** Sends a message to other entry hosts, which send it on to the leader. */
    readonly sendToOthers: (message: Message) => void;
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
            this.#ask({ kind: "freshnessRequest", host, incarnation, sequence }, isRepeated);
        }
    }

    /** Asks at once, for example a new leader. */
    requestNow(): void {
        this.#lease.requestNow();
        this.tick();
    }

    /**
     * Sends the question of this or another entry host to the leader, or to any control host if there is no link to it.
     * Returns false when there is no link to any.
     */
    forward(request: FreshnessRequest): boolean {
        const { leader, control, send } = this.#options;
        const leaderId = leader();
        const [other] = control();
        return (leaderId !== undefined && send(leaderId, request)) || (other !== undefined && send(other.id, request));
    }

    /** Applies an answer, or sends it on. Returns true if it was for this process. */
    answered(answer: FreshnessAnswer): boolean {
        const { self, send } = this.#options;
        const { host, incarnation, sequence, number } = answer;
        if (host !== self.id) {
            send(host, answer);
            return false;
        }
        const isOwn = incarnation === self.incarnation;
        if (isOwn) {
            this.#lease.answered(sequence, number);
        }
        return isOwn;
    }

    /** Records the configuration that is in force from now on. */
    configured(number: number, hasCustomers: boolean): void {
        this.#isNeeded = hasCustomers;
        this.#lease.configured(number);
        this.tick();
    }

    /** A repeated question also takes other ways: an open link may carry messages in one direction only. */
    #ask(request: FreshnessRequest, isRepeated: boolean): void {
        const isSent = this.forward(request);
        if (isRepeated || !isSent) {
            const { leader, control, send, sendToOthers } = this.#options;
            const leaderId = leader();
            for (const { id } of control()) {
                if (id !== leaderId) {
                    send(id, request);
                }
            }
            sendToOthers(request);
        }
    }
}
