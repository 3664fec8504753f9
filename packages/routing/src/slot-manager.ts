import type { SlotGrant, SlotRecall, SlotRequest } from "@medlarledge/protocol";
import { allocateSlots, type SlotClaim } from "./slot-allocation.js";
import { SLOT_OPTIONS, type SlotOptions } from "./slot-options.js";

export type SlotManagerEvent =
    /**
     * This host may act as manager until a time; renewed while it is the chosen host. `peers` are all hosts that may
     * hold slots, by id and incarnation; undefined when one of them may have stopped without returning its slots.
     */
    | { readonly kind: "authorised"; readonly until: number; readonly peers?: readonly string[] | undefined; }
    /** `from` is the sender's id and incarnation, so that a restarted host counts as a new one. */
    | { readonly kind: "request"; readonly from: string; readonly message: SlotRequest; }
    /** The endpoint's number of slots changed. */
    | { readonly kind: "slots"; readonly slots: number; }
    /** Sent about every 10 ms. */
    | { readonly kind: "tick"; };

export interface SlotManagerEffect {
    readonly kind: "send";
    readonly to: string;
    readonly message: SlotGrant | SlotRecall;
}

interface Holder extends SlotClaim {
    sequence: number;
    receivedAt: number;
    /** Number of slots that the last recall left to the holder. */
    recalledTo: number | undefined;
}

/** Allocates the slots of one endpoint to hosts; runs on the host that `chooseSlotManager` selects. */
export class SlotManager {
    readonly #database: string;
    readonly #endpoint: string;
    readonly #options: SlotOptions;
    readonly #holders = new Map<string, Holder>();
    #slots: number;
    #authorisedUntil = -Infinity;
    #readyAt = Infinity;
    /** Hosts that have not sent a request yet; undefined when old grants can only be known to end by waiting. */
    #unreported: Set<string> | undefined;

    constructor(database: string, endpoint: string, slots: number, options: SlotOptions = SLOT_OPTIONS) {
        this.#database = database;
        this.#endpoint = endpoint;
        this.#slots = slots;
        this.#options = options;
    }

    handle(event: SlotManagerEvent, now: number): readonly SlotManagerEffect[] {
        switch (event.kind) {
            case "authorised":
                this.#authorise(event.until, event.peers, now);
                return [];
            case "slots":
                this.#slots = event.slots;
                return this.#reallocate(now);
            case "request":
                return this.#request(event.from, event.message, now);
            case "tick":
                return this.#reallocate(now);
        }
    }

    /**
     * After a gap in this host's authority, another host may have granted slots. The manager then starts without
     * holders and waits until those grants have expired, or until every host that may hold one has reported its slots:
     * a host ignores grants for an earlier request, so no older grant can add to the reported numbers.
     */
    #authorise(until: number, peers: readonly string[] | undefined, now: number): void {
        if (now >= this.#authorisedUntil) {
            const { handoverMs, durationMs, driftMs, overrunMs } = this.#options;
            this.#holders.clear();
            this.#readyAt = now + handoverMs + durationMs + 2 * driftMs + overrunMs;
            this.#unreported = peers === undefined ? undefined : new Set(peers);
        }
        this.#authorisedUntil = Math.max(this.#authorisedUntil, until);
    }

    #request(from: string, message: SlotRequest, now: number): readonly SlotManagerEffect[] {
        const former = this.#holders.get(from);
        if (now >= this.#authorisedUntil || (former !== undefined && message.sequence <= former.sequence)) {
            return [];
        }
        this.#unreported?.delete(from);
        const isWaiting = message.held === 0 && message.wanted > 0;
        // A request sent before a grant arrived must not move the host to the end of the waiting hosts.
        const isTurnUsed = former?.heldSince !== undefined && now >= former.heldSince + this.#options.quantumMs / 2;
        const holder: Holder = {
            bound: message.held,
            expiresAt: now + this.#grantLifetimeMs(),
            wanted: message.wanted,
            waitingSince: isWaiting ? (isTurnUsed ? undefined : former?.waitingSince) ?? now : undefined,
            heldSince: message.held > 0 ? former?.heldSince ?? now : undefined,
            sequence: message.sequence,
            receivedAt: now,
            recalledTo: undefined,
        };
        this.#holders.set(from, holder);
        return this.#reallocate(now, from);
    }

    /**
     * Recalls slots from hosts that hold more than their allocation, then grants free slots up to each allocation.
     * The host `requester` always receives a grant; a grant below what it holds is a recall as well.
     */
    #reallocate(now: number, requester?: string): readonly SlotManagerEffect[] {
        if (!this.#mayGrant(now)) {
            return [];
        }
        this.#expire(now);
        const effects: SlotManagerEffect[] = [];
        const allocation = allocateSlots(this.#holders, this.#slots, this.#options.quantumMs, now);
        for (const [id, allocated] of allocation) {
            const holder = this.#holders.get(id);
            if (
                holder !== undefined && id !== requester && holder.bound > allocated && holder.recalledTo !== allocated
            ) {
                holder.recalledTo = allocated;
                effects.push(this.#recall(id, allocated));
            }
        }
        for (const [id, allocated] of allocation) {
            const holder = this.#holders.get(id);
            const granted = holder === undefined ? 0 : Math.min(allocated, holder.bound + this.#freeSlots());
            if (holder !== undefined && (granted > holder.bound || id === requester)) {
                effects.push(this.#grant(id, holder, granted, now));
            }
        }
        return effects;
    }

    #grant(to: string, holder: Holder, granted: number, now: number): SlotManagerEffect {
        holder.bound = Math.max(holder.bound, granted);
        holder.recalledTo = granted < holder.bound ? granted : undefined;
        holder.expiresAt = now + this.#grantLifetimeMs();
        holder.heldSince = granted > 0 ? holder.heldSince ?? now : holder.heldSince;
        // The holder measures the duration from its request, which arrived here no earlier than it was sent.
        const durationMs = now - holder.receivedAt + this.#options.durationMs;
        const message: SlotGrant = {
            kind: "slotGrant",
            ...this.#address(),
            granted,
            durationMs,
            sequence: holder.sequence,
        };
        return { kind: "send", to, message };
    }

    #recall(to: string, keep: number): SlotManagerEffect {
        return { kind: "send", to, message: { kind: "slotRecall", ...this.#address(), keep } };
    }

    #address(): { readonly database: string; readonly endpoint: string; } {
        return { database: this.#database, endpoint: this.#endpoint };
    }

    #freeSlots(): number {
        let free = this.#slots;
        for (const holder of this.#holders.values()) {
            free -= holder.bound;
        }
        return Math.max(0, free);
    }

    #expire(now: number): void {
        for (const [id, holder] of this.#holders) {
            if (now >= holder.expiresAt) {
                this.#holders.delete(id);
            }
        }
    }

    #mayGrant(now: number): boolean {
        return now < this.#authorisedUntil && (now >= this.#readyAt || this.#unreported?.size === 0);
    }

    #grantLifetimeMs(): number {
        return this.#options.durationMs + 2 * this.#options.driftMs + this.#options.overrunMs;
    }
}
