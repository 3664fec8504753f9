import type { LeaseGranted, PromotionOrder } from "@medlarledge/protocol";
import { HostLease, type HostLeaseOptions } from "./host-lease.js";

/**
 * Time for answers that are outstanding when a promotion order arrives. They may still be acknowledged, since the leader
 * gives the order to the platform only after this host has confirmed it.
 */
export const ORDER_DRAIN_MS = 150;

/** A promotion order that this host has not confirmed yet. */
interface UnconfirmedOrder {
    readonly fence: number;
    readonly receivedAt: number;
    /** The endpoint that could be used before; undefined when no order had named one. */
    readonly former: string | undefined;
}

/**
 * Determines which endpoints an entry host may use as primaries where a former primary goes on committing. A host may
 * use the endpoint of the newest promotion order, or any before the first order, and only while its lease is valid: the
 * leader lets a promotion begin once each host has confirmed the order or its lease has ended. Times are those of a
 * clock that also advances while the machine is suspended.
 */
export class PrimaryLease {
    readonly #lease: HostLease;
    readonly #orders = new Map<string, PromotionOrder>();
    readonly #unconfirmed = new Map<string, UnconfirmedOrder>();
    /** Number of outstanding statements that only a primary may run, by group. */
    readonly #outstanding = new Map<string, number>();

    constructor(options: HostLeaseOptions) {
        this.#lease = new HostLease(options);
    }

    /** Returns the sequence number to send if a renewal is due. A granted lease starts at `now`. */
    nextRenewal(now: number): { sequence: number; } | undefined {
        return this.#lease.nextRenewal(now);
    }

    /** Makes a renewal due, for a new leader. */
    renewNow(): void {
        this.#lease.renewNow();
    }

    /** Extends the lease by a grant. */
    granted(grant: LeaseGranted, now: number): void {
        this.#lease.granted(grant, now);
    }

    /** Time since the lease ended, or since `startedAt` if there was none, in ms; 0 while it is valid. */
    lapsedMs(startedAt: number, now: number): number {
        return Math.max(0, now - Math.max(startedAt, this.#lease.validUntil()));
    }

    /** Applies a promotion order: no statement is sent to the former primary from now on. */
    ordered(order: PromotionOrder, now: number): void {
        const { group, fence } = order;
        const known = this.#orders.get(group);
        if (fence <= (known?.fence ?? -1)) {
            return;
        }
        this.#orders.set(group, order);
        const { receivedAt, former } = this.#unconfirmed.get(group) ?? { receivedAt: now, former: known?.endpoint };
        this.#unconfirmed.set(group, { fence, receivedAt, former });
    }

    /** Returns true when a statement that only the primary may run can be sent to an endpoint. */
    mayUse(group: string, endpoint: string, now: number): boolean {
        return !this.isSuperseded(group, endpoint) && this.#lease.isValid(now);
    }

    /** Returns true when an endpoint's answer to such a statement may be passed on. */
    mayAcknowledge(group: string, endpoint: string, now: number): boolean {
        return this.#lease.isValid(now) && (!this.isSuperseded(group, endpoint) || this.#isDraining(group, endpoint));
    }

    /** Returns true when a promotion order names another endpoint. */
    isSuperseded(group: string, endpoint: string): boolean {
        return (this.#orders.get(group)?.endpoint ?? endpoint) !== endpoint;
    }

    /** Returns true when no answer of the endpoint to such a statement will be passed on any more. */
    isEnded(group: string, endpoint: string): boolean {
        return this.isSuperseded(group, endpoint) && !this.#isDraining(group, endpoint);
    }

    /** Counts a statement that only the primary may run as outstanding. */
    started(group: string): void {
        this.#outstanding.set(group, (this.#outstanding.get(group) ?? 0) + 1);
    }

    /** Ends the count of a statement whose answer was passed on or discarded. */
    ended(group: string): void {
        this.#outstanding.set(group, Math.max(0, (this.#outstanding.get(group) ?? 0) - 1));
    }

    /** True while an order is known that is to be confirmed. */
    get hasUnconfirmed(): boolean {
        return this.#unconfirmed.size > 0;
    }

    /**
     * Returns the orders to confirm to the leader. From this call on, answers of the former primaries are not passed on.
     */
    takeConfirmations(now: number): readonly PromotionOrder[] {
        const due = [...this.#unconfirmed].filter(([group, { receivedAt }]) =>
            (this.#outstanding.get(group) ?? 0) === 0 || now - receivedAt >= ORDER_DRAIN_MS
        );
        return due.flatMap(([group]) => {
            this.#unconfirmed.delete(group);
            return this.#orders.get(group) ?? [];
        });
    }

    /** The newest order of each group that is not unconfirmed. */
    confirmedOrders(): readonly PromotionOrder[] {
        return [...this.#orders.values()].filter(({ group }) => !this.#unconfirmed.has(group));
    }

    /** Returns those of the given orders that this host has confirmed before; a control host may repeat them. */
    selectConfirmed(orders: readonly PromotionOrder[]): readonly PromotionOrder[] {
        return orders.filter(({ group, fence }) =>
            !this.#unconfirmed.has(group) && (this.#orders.get(group)?.fence ?? -1) >= fence
        );
    }

    #isDraining(group: string, endpoint: string): boolean {
        const unconfirmed = this.#unconfirmed.get(group);
        return unconfirmed !== undefined && (unconfirmed.former ?? endpoint) === endpoint;
    }
}
