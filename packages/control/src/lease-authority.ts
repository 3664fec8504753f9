import type { Host, PromotionOrder } from "@medlarledge/protocol";
import { HostTable, type LeaseTiming } from "./host-table.js";

/** Identifies a process of a host. */
export type HostProcess = Pick<Host, "id" | "incarnation">;

/** What the leader does with a renewal. */
export type RenewalDecision =
    | { readonly kind: "grant"; readonly durationMs: number; }
    /** The host has to be in the replicated state first, so that a later leader waits for the end of its lease. */
    | { readonly kind: "register"; readonly host: Host; }
    | { readonly kind: "refuse"; };

/** These hosts receive promotion orders instead of views. */
const NO_VIEW = { viewVersion: 0, draining: false, configurationNumber: 0, configurationSince: 0 };

/**
 * Grants leases to entry hosts during one leadership of the control group, and determines when a promotion order may be
 * given to the platform: once every host has confirmed the order or can no longer hold a lease.
 */
export class LeaseAuthority {
    readonly #timing: LeaseTiming;
    readonly #hosts: HostTable;

    /** @param registered hosts to which earlier leaders may have granted leases */
    constructor(timing: LeaseTiming, registered: readonly Host[], electedAt: number) {
        this.#timing = timing;
        this.#hosts = new HostTable(timing);
        for (const host of registered) {
            this.#hosts.assumePredecessorLease(host, electedAt, 0);
        }
    }

    /** Records the link to an entry host, over which all known promotion orders are sent before any grant. */
    connected(host: Host, now: number): void {
        this.#hosts.connect(host, now, 0);
        this.#hosts.endFormerProcesses(host);
    }

    /**
     * Records a request that came over another host and may be late: it must not replace a later process of the host
     * whose lease is valid.
     */
    connectedOver(host: Host, now: number): void {
        const current = this.#hosts.connected(host.id);
        const isOther = current !== undefined && current.host.incarnation !== host.incarnation;
        if (!isOther || current.leaseUntil < now) {
            this.#hosts.connect(host, now, 0);
        }
    }

    disconnected({ id, incarnation }: Host): void {
        this.#hosts.disconnect(id, incarnation);
    }

    /** Answers a renewal; the leader must have been in contact with a quorum. */
    renew({ id: from, incarnation }: HostProcess, isRegistered: (host: Host) => boolean, now: number): RenewalDecision {
        const record = this.#hosts.connected(from);
        if (record === undefined || record.host.incarnation !== incarnation) {
            return { kind: "refuse" };
        }
        this.#hosts.recordRenewal(from, NO_VIEW, 0, now);
        if (!isRegistered(record.host)) {
            const mayRegister = now > this.#hosts.otherLeaseUntil(record.host);
            return mayRegister ? { kind: "register", host: record.host } : { kind: "refuse" };
        }
        if (!this.#hosts.mayGrant(record)) {
            return { kind: "refuse" };
        }
        this.#hosts.granted(from, now);
        return { kind: "grant", durationMs: this.#timing.leaseMs };
    }

    /** Starts to revoke the use of the former primary; must be called before the order is sent to any host. */
    revoke(order: PromotionOrder): void {
        this.#hosts.revoke(order.group, order.fence);
    }

    /** Records that a host has confirmed the promotion order with this fencing token, or a later one of the group. */
    confirmed(from: string, group: string, fence: number): void {
        this.#hosts.recordAcknowledgement(from, group, fence);
    }

    /** Hosts that may still pass on answers of the former primary of a group. */
    holders(group: string, now: number): readonly string[] {
        return this.#hosts.unacknowledgedRevocations(group, now)
            .filter(({ mayHold }) => mayHold)
            .map(({ record }) => record.host.id);
    }

    /** Registered hosts that are gone and whose leases have ended. */
    goneHosts(registered: readonly Host[], now: number): readonly Host[] {
        const present = new Set(this.#hosts.allConnected().map(({ host }) => host.id));
        const live = new Set(this.#hosts.all().filter(record => record.leaseUntil >= now).map(({ host }) => host.id));
        return registered.filter(({ id }) => !present.has(id) && !live.has(id));
    }
}
