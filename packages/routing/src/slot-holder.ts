import type { SlotGrant, SlotRecall, SlotRequest } from "@medlarledge/protocol";
import { SLOT_OPTIONS, type SlotOptions } from "./slot-options.js";

// Shortest time between two reports of changed work, so that a burst does not become a burst of messages.
const REPORT_MS = 10;

/** Holds slots of one endpoint for this host and asks the keeper for them. */
export class SlotHolder {
    readonly #database: string;
    readonly #endpoint: string;
    readonly #options: SlotOptions;
    #manager: string | undefined;
    #sequence = 0;
    #sentAt = -Infinity;
    #isAnswered = true;
    /** The present keeper has been sent a request. */
    #isReported = false;
    #granted = 0;
    /** What the keeper must assume that this host holds. */
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

    /** Statements that may be running; none may start while more than this run. */
    allowed(now: number): number {
        return now < this.#validUntil ? Math.min(this.#granted, this.#recalledTo) : 0;
    }

    /** When statements that still run must be cancelled unless the grant is renewed before. */
    cancelAt(): number {
        return this.#validUntil + this.#options.overrunMs;
    }

    /**
     * Returns the request to send to the keeper, if one is due. A new keeper is sent one in any case, since it waits for
     * what all hosts hold. To be called when the work or the keeper changes, after
     * a message from the keeper, and about every 10 ms.
     * @param wanted statements that run or wait here
     * @param running statements that run; they are held whatever the grant says
     */
    update(keeper: string, wanted: number, running: number, now: number): SlotRequest | undefined {
        if (keeper !== this.#manager) {
            this.#manager = keeper;
            this.#isReported = false;
            this.#isAnswered = true;
            this.#sentAt = -Infinity;
        }
        if (wanted > 0) {
            this.#busyAt = now;
        }
        return this.#isDue(wanted, running, now) ? this.#request(wanted, running, now) : undefined;
    }

    /** Takes an answer; one to a former request is ignored, because the keeper has been told otherwise since. */
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
        const returns = this.#reportedHeld > Math.max(this.#slotsToKeep(now), running);
        // A host that waits without a slot is granted one without asking again.
        const more = this.#lastWanted === 0 || (allowed > 0 && wanted > this.#lastWanted && sinceSent >= REPORT_MS);
        const wants = wanted > allowed && more;
        const rests = wanted === 0 && this.#lastWanted > 0 && sinceSent >= REPORT_MS;
        const renews = (wanted > 0 || this.#slotsToKeep(now) > 0) && sinceSent >= this.#options.renewMs;
        return returns || wants || rests || renews;
    }

    /** Slots are kept for a while without work, so that the next statement need not wait for the keeper. */
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
