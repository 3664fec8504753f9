import type { SlotGrant, SlotRecall, SlotRequest } from "@medlarledge/protocol";
import { allocateSlots, type SlotClaim } from "./slot-allocation.js";
import { SLOT_OPTIONS, type SlotOptions } from "./slot-options.js";

export type SlotManagerEvent =
    /**
     * This host may act as keeper until a time; renewed while it is the one chosen. `peers` are all hosts that may
     * hold slots, by id and incarnation; undefined when one of them may have ended without giving its slots back.
     */
    | { readonly kind: "authorised"; readonly until: number; readonly peers?: readonly string[] | undefined; }
    /** `from` is the sender's id and incarnation, so that a restarted host counts as another one. */
    | { readonly kind: "request"; readonly from: string; readonly message: SlotRequest; }
    | { readonly kind: "slots"; readonly slots: number; }
    /** About every 10 ms. */
    | { readonly kind: "tick"; };

export interface SlotManagerEffect {
    readonly kind: "send";
    readonly to: string;
    readonly message: SlotGrant | SlotRecall;
}

interface Holder extends SlotClaim {
    sequence: number;
    receivedAt: number;
    /** The number last recalled to. */
    recalled: number | undefined;
}

/** Manages the slots of one endpoint on the host that was chosen for it. */
export class SlotManager {
    readonly #database: string;
    readonly #endpoint: string;
    readonly #options: SlotOptions;
    readonly #holders = new Map<string, Holder>();
    #slots: number;
    #authorisedUntil = -Infinity;
    #readyAt = Infinity;
    /** Hosts whose first request is still missing; undefined when only time can tell that old grants have ended. */
    #missing: Set<string> | undefined;

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
                return this.#settle(now);
            case "request":
                return this.#request(event.from, event.message, now);
            case "tick":
                return this.#settle(now);
        }
    }

    /**
     * After a gap in its authority another host may have granted slots. The keeper starts over and waits until those
     * grants have ended, or until every host that may hold one has told what it holds: a host ignores grants that
     * answer an earlier request, so nothing older can be added to that.
     */
    #authorise(until: number, peers: readonly string[] | undefined, now: number): void {
        if (now >= this.#authorisedUntil) {
            const { handoverMs, durationMs, driftMs, overrunMs } = this.#options;
            this.#holders.clear();
            this.#readyAt = now + handoverMs + durationMs + 2 * driftMs + overrunMs;
            this.#missing = peers === undefined ? undefined : new Set(peers);
        }
        this.#authorisedUntil = Math.max(this.#authorisedUntil, until);
    }

    #request(from: string, message: SlotRequest, now: number): readonly SlotManagerEffect[] {
        const former = this.#holders.get(from);
        if (now >= this.#authorisedUntil || (former !== undefined && message.sequence <= former.sequence)) {
            return [];
        }
        this.#missing?.delete(from);
        const waits = message.held === 0 && message.wanted > 0;
        // A request that crossed a grant on the way must not cost the host its place among those that wait.
        const turnUsed = former?.heldSince !== undefined && now >= former.heldSince + this.#options.quantumMs / 2;
        const holder: Holder = {
            bound: message.held,
            expiresAt: now + this.#lifetime(),
            wanted: message.wanted,
            waitingSince: waits ? (turnUsed ? undefined : former?.waitingSince) ?? now : undefined,
            heldSince: message.held > 0 ? former?.heldSince ?? now : undefined,
            sequence: message.sequence,
            receivedAt: now,
            recalled: undefined,
        };
        this.#holders.set(from, holder);
        return this.#settle(now, from);
    }

    /**
     * Recalls from those who hold more than their part, then grants what is free to those whose turn it is. A host that
     * asked is answered in any case; an answer below what it holds is a recall as well.
     */
    #settle(now: number, asked?: string): readonly SlotManagerEffect[] {
        if (!this.#mayGrant(now)) {
            return [];
        }
        this.#expire(now);
        const effects: SlotManagerEffect[] = [];
        const parts = allocateSlots(this.#holders, this.#slots, this.#options.quantumMs, now);
        for (const [id, part] of parts) {
            const holder = this.#holders.get(id);
            if (holder !== undefined && id !== asked && holder.bound > part && holder.recalled !== part) {
                holder.recalled = part;
                effects.push(this.#recall(id, part));
            }
        }
        for (const [id, part] of parts) {
            const holder = this.#holders.get(id);
            const granted = holder === undefined ? 0 : Math.min(part, holder.bound + this.#free());
            if (holder !== undefined && (granted > holder.bound || id === asked)) {
                effects.push(this.#grant(id, holder, granted, now));
            }
        }
        return effects;
    }

    #grant(to: string, holder: Holder, granted: number, now: number): SlotManagerEffect {
        holder.bound = Math.max(holder.bound, granted);
        holder.recalled = granted < holder.bound ? granted : undefined;
        holder.expiresAt = now + this.#lifetime();
        holder.heldSince = granted > 0 ? holder.heldSince ?? now : holder.heldSince;
        // The holder counts from its request, which the keeper received at or after the time it was sent.
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

    #free(): number {
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
        return now < this.#authorisedUntil && (now >= this.#readyAt || this.#missing?.size === 0);
    }

    #lifetime(): number {
        return this.#options.durationMs + 2 * this.#options.driftMs + this.#options.overrunMs;
    }
}
