import { PrimaryLease } from "@medlarledge/control";
import { ElapsedClock, type PrimaryPermits } from "@medlarledge/gateway";
import type { ForwardedGrant, Host, LeaseGranted, Message, PromotionOrder } from "@medlarledge/protocol";
import type { Clock } from "@medlarledge/runtime";
import { HOST_LEASE } from "./lease-timing.js";

/** A new leader of the control group grants leases within this time after those of its predecessor have ended. */
const LAPSED_AFTER_MS = 500;

/** Fields of a renewal for hosts that receive views; these hosts receive promotion orders instead. */
const UNUSED_RENEWAL_FIELDS = { configurationNumber: 0, configurationSince: 0, viewVersion: 0, draining: false };

export interface LeaseHolderOptions {
    readonly self: Host;
    readonly clock: Clock;
    /** Returns false when there is no link to the leader. */
    readonly sendToLeader: (message: Message) => boolean;
    /** Sends a message to other entry hosts, which send it on to the leader. */
    readonly sendToOthers: (message: Message) => void;
    /** True for a group whose primary this host may use only with a lease and by the newest order. */
    readonly isLeased: (group: string) => boolean;
    /** True while there is such a group, so that this host needs a lease. */
    readonly isNeeded: () => boolean;
}

/**
 * Holds an entry host's lease while one is needed: renews it, confirms promotion orders, and answers what the lease
 * permits. In groups that need none everything is permitted.
 */
export class LeaseHolder implements PrimaryPermits {
    readonly #options: LeaseHolderOptions;
    readonly #elapsed: ElapsedClock;
    readonly #lease = new PrimaryLease(HOST_LEASE);
    /** Since when a lease has been needed; undefined while none is. */
    #neededSince: number | undefined;

    constructor(options: LeaseHolderOptions) {
        this.#options = options;
        this.#elapsed = new ElapsedClock(options.clock);
    }

    /** True when this host has had no lease for so long that its callers are served better by other hosts. */
    get isLapsed(): boolean {
        return this.lapsedMs > 0;
    }

    /** Time since this host counts as having no lease, in ms; 0 while it does not. */
    get lapsedMs(): number {
        if (this.#neededSince === undefined) {
            return 0;
        }
        return Math.max(0, this.#lease.lapsedMs(this.#neededSince, this.#elapsed.now()) - LAPSED_AFTER_MS);
    }

    /** Renews the lease and confirms orders that are due; to be called about every 50 ms. */
    tick(): void {
        const now = this.#elapsed.now();
        if (!this.#options.isNeeded()) {
            this.#neededSince = undefined;
            return;
        }
        this.#neededSince ??= now;
        const renewal = this.#lease.nextRenewal(now);
        if (renewal !== undefined) {
            this.#renew(renewal.sequence);
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

    /** Applies the reply to a renewal that another entry host forwarded. */
    forwardedGrant({ sequence, durationMs }: ForwardedGrant): void {
        if (durationMs !== undefined) {
            this.granted({ kind: "leaseGranted", sequence, durationMs });
        }
    }

    /** Applies promotion orders. Confirms them once no answers of former primaries are outstanding. */
    ordered(orders: readonly PromotionOrder[]): void {
        const now = this.#elapsed.now();
        const known = this.#lease.selectConfirmed(orders);
        for (const order of orders) {
            this.#lease.ordered(order, now);
        }
        this.#confirm([...known, ...this.#lease.takeConfirmations(now)]);
    }

    mayUse(group: string, endpoint: string): boolean {
        return !this.#options.isLeased(group) || this.#lease.mayUse(group, endpoint, this.#elapsed.now());
    }

    mayAcknowledge(group: string, endpoint: string): boolean {
        return !this.#options.isLeased(group) || this.#lease.mayAcknowledge(group, endpoint, this.#elapsed.now());
    }

    isSuperseded(group: string, endpoint: string): boolean {
        return this.#options.isLeased(group) && this.#lease.isSuperseded(group, endpoint);
    }

    isEnded(group: string, endpoint: string): boolean {
        return this.#options.isLeased(group) && this.#lease.isEnded(group, endpoint);
    }

    started(group: string): void {
        this.#lease.started(group);
    }

    ended(group: string): void {
        this.#lease.ended(group);
        if (this.#lease.hasUnconfirmed) {
            this.#confirm(this.#lease.takeConfirmations(this.#elapsed.now()));
        }
    }

    #confirm(orders: readonly PromotionOrder[]): void {
        const leased = orders.filter(({ group }) => this.#options.isLeased(group));
        for (const { group, fence } of leased) {
            this.#options.sendToLeader({ kind: "revoked", database: group, term: fence });
        }
    }

    /** Asks the leader for a lease, over other entry hosts if there is no link to it. */
    #renew(sequence: number): void {
        const { self: host, sendToLeader, sendToOthers } = this.#options;
        if (!sendToLeader({ kind: "renewLease", ...UNUSED_RENEWAL_FIELDS, sequence })) {
            sendToOthers({ kind: "forwardedRenewal", host, sequence, confirmed: this.#lease.confirmedOrders() });
        }
    }
}
