import { PrimaryLease } from "@medlarledge/control";
import { ElapsedClock, type PrimaryPermits } from "@medlarledge/gateway";
import type { LeaseGranted, Message, PromotionOrder } from "@medlarledge/protocol";
import type { Clock } from "@medlarledge/runtime";
import { HOST_LEASE } from "./lease-timing.js";

/** Fields of a renewal for hosts that receive views; these hosts receive promotion orders instead. */
const UNUSED_RENEWAL_FIELDS = { configurationNumber: 0, configurationSince: 0, viewVersion: 0, draining: false };

/** Holds an entry host's lease: renews it, confirms promotion orders, and answers what the lease permits. */
export class LeaseHolder implements PrimaryPermits {
    readonly #elapsed: ElapsedClock;
    readonly #sendToLeader: (message: Message) => void;
    readonly #lease = new PrimaryLease(HOST_LEASE);

    constructor(clock: Clock, sendToLeader: (message: Message) => void) {
        this.#elapsed = new ElapsedClock(clock);
        this.#sendToLeader = sendToLeader;
    }

    /** Renews the lease and confirms orders that are due; to be called about every 50 ms. */
    tick(): void {
        const now = this.#elapsed.now();
        const renewal = this.#lease.nextRenewal(now);
        if (renewal !== undefined) {
            this.#sendToLeader({ kind: "renewLease", ...UNUSED_RENEWAL_FIELDS, ...renewal });
        }
        this.#confirm(this.#lease.takeConfirmations(now));
    }

    /** Requests a lease from a new leader at once. */
    leaderChanged(): void {
        this.#lease.renewNow();
        this.tick();
    }

    granted(grant: LeaseGranted): void {
        this.#lease.granted(grant, this.#elapsed.now());
    }

    /** Applies promotion orders. Confirms them once no answers of former primaries are outstanding. */
    ordered(orders: readonly PromotionOrder[]): void {
        const now = this.#elapsed.now();
        const known = this.#lease.confirmed(orders);
        for (const order of orders) {
            this.#lease.ordered(order, now);
        }
        this.#confirm([...known, ...this.#lease.takeConfirmations(now)]);
    }

    mayUse(group: string, endpoint: string): boolean {
        return this.#lease.mayUse(group, endpoint, this.#elapsed.now());
    }

    mayAcknowledge(group: string, endpoint: string): boolean {
        return this.#lease.mayAcknowledge(group, endpoint, this.#elapsed.now());
    }

    isSuperseded(group: string, endpoint: string): boolean {
        return this.#lease.isSuperseded(group, endpoint);
    }

    isEnded(group: string, endpoint: string): boolean {
        return this.#lease.isEnded(group, endpoint);
    }

    started(group: string): void {
        this.#lease.started(group);
    }

    ended(group: string): void {
        this.#lease.ended(group);
        this.#confirm(this.#lease.takeConfirmations(this.#elapsed.now()));
    }

    #confirm(orders: readonly PromotionOrder[]): void {
        for (const { group, fence } of orders) {
            this.#sendToLeader({ kind: "revoked", database: group, term: fence });
        }
    }
}
