import { type HostProcess, LeaseAuthority } from "@medlarledge/control";
import type { Host, Message, PromotionOrder, RenewLease } from "@medlarledge/protocol";
import type { Clock } from "@medlarledge/runtime";
import type { GroupMember } from "./group-member.js";
import { HOST_LEASE, STEP_DOWN_MS } from "./lease-timing.js";

/** Interval of checks whether all hosts have confirmed an order. */
const CHECK_INTERVAL_MS = 10;

/** Limit for the confirmations of an order; every lease has ended by then. */
const CONFIRM_TIMEOUT_MS = STEP_DOWN_MS + 2 * HOST_LEASE.leaseMs;

/** Interval of checks for registered hosts that are gone. */
const SCAN_INTERVAL_MS = 60_000;

export interface PromotionAnnouncerOptions {
    readonly member: GroupMember;
    readonly clock: Clock;
    readonly entries: () => readonly Host[];
    readonly send: (to: string, message: Message) => void;
    /** Returns the newest known order of a group. */
    readonly newestOrder: (group: string) => PromotionOrder | undefined;
    readonly ended: (announcement: AnnouncementEnd) => void;
}

/** How the announcement of an order ended. */
export interface AnnouncementEnd {
    readonly order: PromotionOrder;
    /** Whether no host passes on answers of the former primary any more and this host still leads. */
    readonly isConfirmed: boolean;
    /** Hosts that were waited for last. */
    readonly waitedFor: readonly string[];
    readonly waitedMs: number;
}

/**
 * Announces promotion orders for endpoints that do not stop being the primary by themselves: commits an order to the
 * control group's log, and waits until no entry host passes on answers of the former primary any more.
 */
export class PromotionAnnouncer {
    readonly #options: PromotionAnnouncerOptions;
    #authority: LeaseAuthority | undefined;
    #term = 0;
    #scannedAt = Number.NEGATIVE_INFINITY;
    readonly #registering = new Set<string>();

    constructor(options: PromotionAnnouncerOptions) {
        this.#options = options;
    }

    /** Starts or ends this host's authority when the leader or its term has changed. */
    leadershipChanged(): void {
        const { member, clock, entries } = this.#options;
        if (!member.isLeader) {
            this.#authority = undefined;
            return;
        }
        if (this.#authority !== undefined && this.#term === member.term) {
            return;
        }
        this.#term = member.term;
        const now = clock.now();
        this.#authority = new LeaseAuthority({ ...HOST_LEASE, stepDownMs: STEP_DOWN_MS }, member.registeredHosts, now);
        for (const host of entries()) {
            this.#authority.connected(host, now);
        }
    }

    /** To be called before the known orders are sent to a newly linked entry host. */
    connected(host: Host): void {
        this.#authority?.connected(host, this.#options.clock.now());
    }

    disconnected(host: Host): void {
        this.#authority?.disconnected(host);
    }

    /** To be called when an order was committed, before it is sent to any host. */
    committed(order: PromotionOrder): void {
        this.#authority?.revoke(order);
    }

    /** Records a host's confirmation of the order with this fencing token. */
    confirmed(from: string, group: string, fence: number): void {
        this.#authority?.confirmed(from, group, fence);
    }

    /** Removes hosts that are gone from the log, so that later leaders do not wait for them; to be called regularly. */
    tick(): void {
        const { member, clock } = this.#options;
        const now = clock.now();
        if (this.#authority === undefined || now - this.#scannedAt < SCAN_INTERVAL_MS) {
            return;
        }
        this.#scannedAt = now;
        for (const { id, incarnation } of this.#authority.goneHosts(member.registeredHosts, now)) {
            void member.submit({ kind: "removeHost", id, incarnation });
        }
    }

    /** Answers a host's request to renew its lease. */
    renewed(from: Host, { sequence }: RenewLease): void {
        this.#renew(from, sequence, durationMs => {
            if (durationMs !== undefined) {
                this.#options.send(from.id, { kind: "leaseGranted", sequence, durationMs });
            }
        });
    }

    /**
     * Answers a request that came over another entry host.
     * @param reply sends the orders known now, and the duration of the lease in ms if one is granted
     */
    renewedOver(
        host: Host,
        sequence: number,
        confirmed: readonly PromotionOrder[],
        reply: (durationMs: number | undefined) => void,
    ): void {
        this.#authority?.connectedOver(host, this.#options.clock.now());
        for (const { group, fence } of confirmed) {
            this.#authority?.confirmed(host.id, group, fence);
        }
        this.#renew(host, sequence, reply);
    }

    #renew(process: HostProcess, sequence: number, reply: (durationMs: number | undefined) => void): void {
        const { member, clock } = this.#options;
        if (this.#authority === undefined || !member.hasQuorum) {
            return;
        }
        const registered = new Map(member.registeredHosts.map(host => [host.id, host.incarnation]));
        const isRegistered = (host: Host): boolean => registered.get(host.id) === host.incarnation;
        const decision = this.#authority.renew(process, isRegistered, clock.now());
        if (decision.kind === "register") {
            void this.#register(decision.host, () => this.#renew(process, sequence, reply));
        }
        else {
            reply(decision.kind === "grant" ? decision.durationMs : undefined);
        }
    }

    /** Announces an order. Resolves to true when it may be given to the promotion authority. */
    async announce(order: PromotionOrder): Promise<boolean> {
        const { member, clock, newestOrder } = this.#options;
        const term = member.term;
        const startedAt = clock.now();
        if (!await member.submit({ kind: "orderPromotion", order })) {
            return false;
        }
        const isCurrent = (): boolean =>
            member.hasQuorum && member.term === term && newestOrder(order.group)?.fence === order.fence;
        let waitedFor: readonly string[] = [];
        let holders = this.#holders(order.group);
        while (holders.length > 0 && isCurrent() && clock.now() - startedAt < CONFIRM_TIMEOUT_MS) {
            waitedFor = holders;
            await new Promise(resolve => setTimeout(resolve, CHECK_INTERVAL_MS));
            holders = this.#holders(order.group);
        }
        const isConfirmed = holders.length === 0 && isCurrent();
        this.#options.ended({ order, isConfirmed, waitedFor, waitedMs: clock.now() - startedAt });
        return isConfirmed;
    }

    #holders(group: string): readonly string[] {
        return this.#authority?.holders(group, this.#options.clock.now()) ?? [];
    }

    /** Registers a host and then calls `registered`, so that the host does not wait for its next renewal. */
    async #register(host: Host, registered: () => void): Promise<void> {
        const key = `${host.id} ${host.incarnation}`;
        if (!this.#registering.has(key)) {
            this.#registering.add(key);
            const isRegistered = await this.#options.member.submit({ kind: "registerHost", host });
            this.#registering.delete(key);
            if (isRegistered) {
                registered();
            }
        }
    }
}
