import type { SlotGrant, SlotRecall, SlotRequest } from "@medlarledge/protocol";
import { SLOT_OPTIONS, type SlotOptions } from "./slot-options.js";

// Minimum time between two reports of changed demand, so that a burst of statements causes no burst of messages.
const REPORT_INTERVAL_MS = 10;

/** Holds slots of one endpoint for this host and requests them from the slot manager. */
export class SlotHolder {
    readonly #database: string;
    readonly #endpoint: string;
    readonly #options: SlotOptions;
    #manager: string | undefined;
    #sequence = 0;
    #sentAt = -Infinity;
    #isAnswered = true;
    /** Whether a request has been sent to the present manager. */
    #isReported = false;
    #granted = 0;
    /** Number of slots that the manager must assume to be held here. */
    #reportedHeld = 0;
    #recalledTo = Infinity;
    #validUntil = -Infinity;
    #lastWanted = 0;
    #busyAt = -Infinity;

    constructor(database: string, endpoint: string, options: SlotOptions = SLOT_OPTIONS) {
        this.#database = database;
        this.#endpoint = endpoint;
        this.#options = options;
    }

    /** Maximum number of running statements; no statement may start while this many or more run. */
    allowed(now: number): number {
        return now < this.#validUntil ? Math.min(this.#granted, this.#recalledTo) : 0;
    }

    /** Time at which running statements must be cancelled unless the grant is renewed before. */
    cancelAt(): number {
        return this.#validUntil + this.#options.overrunMs;
    }

    /**
     * Returns the request to send to the manager, if one is due. A new manager always receives one, since it waits
     * until all hosts have reported the slots that they hold. Call this when the demand or the manager changes, after a
     * message from the manager, and about every 10 ms.
     * @param wanted statements that run or wait here
     * @param running statements that run; their slots count as held even without a grant
     */
    update(manager: string, wanted: number, running: number, now: number): SlotRequest | undefined {
        if (manager !== this.#manager) {
            this.#manager = manager;
            this.#isReported = false;
            this.#isAnswered = true;
            this.#sentAt = -Infinity;
        }
        if (wanted > 0) {
            this.#busyAt = now;
        }
        return this.#isDue(wanted, running, now) ? this.#request(wanted, running, now) : undefined;
    }

    /** Applies a grant. A grant for an earlier request is ignored: a later request has reported other numbers since. */
    granted(message: SlotGrant): void {
        if (message.sequence !== this.#sequence) {
            return;
        }
        this.#isAnswered = true;
        this.#granted = message.granted;
        this.#reportedHeld = Math.max(this.#reportedHeld, message.granted);
        this.#recalledTo = Infinity;
        this.#validUntil = this.#sentAt + message.durationMs - this.#options.driftMs;
    }

    /** Applies a recall: statements may only run up to the number of slots that it leaves to this host. */
    recalled(message: SlotRecall): void {
        this.#recalledTo = Math.min(this.#recalledTo, message.keep);
    }

    #isDue(wanted: number, running: number, now: number): boolean {
        if (!this.#isReported) {
            return true;
        }
        const sinceSent = now - this.#sentAt;
        if (!this.#isAnswered) {
            return sinceSent >= this.#options.retryMs;
        }
        const allowed = this.allowed(now);
        const returnsSlots = this.#reportedHeld > Math.max(this.#slotsToKeep(now), running);
        // A waiting host without slots receives its grant without another request.
        const isNewDemand = this.#lastWanted === 0
            || (allowed > 0 && wanted > this.#lastWanted && sinceSent >= REPORT_INTERVAL_MS);
        const needsSlots = wanted > allowed && isNewDemand;
        const becameIdle = wanted === 0 && this.#lastWanted > 0 && sinceSent >= REPORT_INTERVAL_MS;
        const renewsGrant = (wanted > 0 || this.#slotsToKeep(now) > 0) && sinceSent >= this.#options.renewMs;
        return returnsSlots || needsSlots || becameIdle || renewsGrant;
    }

    /** Slots to keep; idle ones are kept for a while, so that the next statement need not wait for a grant. */
    #slotsToKeep(now: number): number {
        return now >= this.#busyAt + this.#options.lingerMs ? 0 : this.allowed(now);
    }

    #request(wanted: number, running: number, now: number): SlotRequest {
        const held = Math.max(running, this.#slotsToKeep(now));
        this.#sequence++;
        this.#sentAt = now;
        this.#isAnswered = false;
        this.#isReported = true;
        this.#granted = Math.min(held, this.allowed(now));
        this.#reportedHeld = held;
        this.#lastWanted = wanted;
        return {
            kind: "slotRequest",
            database: this.#database,
            endpoint: this.#endpoint,
            wanted,
            held,
            sequence: this.#sequence,
        };
    }
}
