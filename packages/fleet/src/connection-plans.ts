import type { Routing } from "@medlarledge/gateway";
import type { EndpointRecord, HostPlacement } from "@medlarledge/protocol";
import { type ConnectionPlan, planConnections, rankHolders, relayHostsFor, type Relays } from "./connection-share.js";

/**
 * For this time after its start, a process opens only a part of its connections. After a power loss endpoints still
 * count the connections of the former processes, for up to 3 s, so all new processes have to share the few that are
 * left.
 */
const RAMP_UP_MS = 2_000;
const RAMP_UP_SHARE = 0.5;

/**
 * Where only some hosts have connections, a host that becomes one of them waits for this time before it opens any, so
 * that the host before it has received the same list and closed its own. Otherwise the endpoint refuses connections.
 */
const HANDOVER_MS = 250;

/**
 * The same where connections belong to customers. A holder has many, and those that run an order are closed only after
 * its answer; orders have 600 ms. The endpoint's other holders serve its customers meanwhile.
 */
const CUSTOMER_HANDOVER_MS = 1_000;

/** One host's part in the division of an endpoint's connections. */
interface OwnPlan {
    /** Maximum number of connections of the host. */
    readonly share: number;
    /** Time from which the host may open connections. */
    readonly openFrom: number;
    /** Other hosts that have connections. */
    readonly relays: Relays;
    /** The division of which it is a part, where only some hosts have connections and these belong to customers. */
    readonly byCustomer: ConnectionPlan | undefined;
}

/** One host's part in the division of the connections of all endpoints. */
export class ConnectionPlans {
    readonly #self: HostPlacement;
    readonly #startedAt: number;
    /** Cached plans by endpoint id, valid until the hosts or the configuration change. */
    readonly #plans = new Map<string, OwnPlan>();
    /** Plans before the hosts or the configuration changed last. */
    readonly #formerPlans = new Map<string, OwnPlan>();
    #entries: readonly HostPlacement[] = [];

    constructor(self: HostPlacement, startedAt: number) {
        this.#self = self;
        this.#startedAt = startedAt;
    }

    /** The entry hosts among which connections are divided. */
    get entries(): readonly HostPlacement[] {
        return this.#entries;
    }

    /** Divides the connections anew if other hosts are in use than before. */
    hostsChanged(entries: readonly HostPlacement[]): void {
        const isSame = entries.length === this.#entries.length
            && entries.every(({ id }, index) => id === this.#entries[index]?.id);
        if (!isSame) {
            this.#entries = entries;
            this.#discardPlans();
        }
    }

    configurationChanged(): void {
        this.#discardPlans();
    }

    /** Returns the maximum number of connections of this host to an endpoint at present. */
    share(record: EndpointRecord, routing: Routing, now: number): number {
        const { share, openFrom } = this.#plan(record, routing, now);
        if (now < openFrom) {
            return 0;
        }
        const isRampingUp = now - this.#startedAt < RAMP_UP_MS;
        return isRampingUp ? Math.min(share, Math.max(1, Math.floor(share * RAMP_UP_SHARE))) : share;
    }

    /**
     * Returns the other hosts that may run a customer's orders for an endpoint, best first; for an isolated host, only
     * those in its data centre.
     */
    relays(
        record: EndpointRecord,
        routing: Routing,
        isIsolated: boolean,
        now: number,
        customer?: string,
    ): readonly string[] {
        const { relays: { all, near }, byCustomer } = this.#plan(record, routing, now);
        const usable = isIsolated ? near : all;
        return byCustomer === undefined
            ? usable
            : rankHolders(customer, record.id, byCustomer).filter(id => usable.includes(id));
    }

    /** Returns those of `relays` that come before this host for a customer's orders. */
    preferredRelays(
        record: EndpointRecord,
        routing: Routing,
        isIsolated: boolean,
        now: number,
        customer?: string,
    ): readonly string[] {
        const { relays: { all, near }, byCustomer } = this.#plan(record, routing, now);
        if (byCustomer === undefined) {
            return [];
        }
        const ranked = rankHolders(customer, record.id, byCustomer);
        const usable = isIsolated ? near : all;
        const ownRank = ranked.indexOf(this.#self.id);
        return ranked.slice(0, ownRank < 0 ? ranked.length : ownRank).filter(id => usable.includes(id));
    }

    #discardPlans(): void {
        for (const [endpoint, plan] of this.#plans) {
            this.#formerPlans.set(endpoint, plan);
        }
        this.#plans.clear();
    }

    #plan(record: EndpointRecord, routing: Routing, now: number): OwnPlan {
        const known = this.#plans.get(record.id);
        if (known !== undefined) {
            return known;
        }
        const hasCustomers = routing.customers !== undefined;
        const limit = routing.groups.get(record.group)?.connections ?? 0;
        const plan = planConnections(record, limit, this.#entries, hasCustomers);
        const isHolder = plan.holders.length === 0 || plan.holders.includes(this.#self.id);
        const relays = relayHostsFor(this.#self, record.id, plan, this.#entries);
        const former = this.#formerPlans.get(record.id);
        // Where all hosts have connections, a joining host only makes the shares smaller.
        const hasFormerHolder = plan.holders.length < this.#entries.length && (former?.share ?? 0) === 0;
        const handoverMs = hasCustomers ? CUSTOMER_HANDOVER_MS : HANDOVER_MS;
        const openFrom = hasFormerHolder ? now + handoverMs : former?.openFrom ?? Number.NEGATIVE_INFINITY;
        // Where all hosts have connections, a relay costs more time than the opening that it may save.
        const byCustomer = hasCustomers && plan.holders.length < this.#entries.length ? plan : undefined;
        const own = { share: isHolder ? plan.share : 0, openFrom, relays, byCustomer };
        this.#plans.set(record.id, own);
        return own;
    }
}
