import type { EndpointRecord, HostPlacement } from "@medlarledge/protocol";
import { rendezvousIds } from "@medlarledge/routing";

/** Connections of each endpoint that are left for control, which probes positions before a promotion. */
const CONTROL_CONNECTIONS = 2;

/**
 * With fewer connections than this for each entry host, only some hosts have connections and the others relay to them.
 */
const MIN_SHARE = 2;

/** Connections per host when not all hosts have some: enough for a few of them to be reserved by idle transactions. */
const HOLDER_SHARE = 5;

/**
 * Least number of connections per holder where they belong to customers and not all hosts have some. A connection serves
 * a single customer, so few large pools need fewer openings than many small ones.
 */
const CUSTOMER_HOLDER_SHARE = 16;

/** A failed holder must leave another one with its customers' connections. */
const MIN_CUSTOMER_HOLDERS = 2;

/** Division of the connections of one endpoint among the entry hosts. */
export interface ConnectionPlan {
    /** Maximum number of connections of each holder. */
    readonly share: number;
    /** Hosts that may have connections, best first: those in the endpoint's data centre come first. */
    readonly holders: readonly string[];
}

/**
 * Divides the connections of one endpoint among the entry hosts. Every host computes the same plan from the same list
 * of hosts, and a host that joins or leaves changes the holders of few endpoints.
 */
export function planConnections(
    record: EndpointRecord,
    limit: number,
    entries: readonly HostPlacement[],
    hasCustomers = false,
): ConnectionPlan {
    const usable = Math.max(0, limit - CONTROL_CONNECTIONS);
    const share = Math.floor(usable / Math.max(1, entries.length));
    if (share >= MIN_SHARE || entries.length === 0) {
        return { share: Math.max(1, share), holders: firstRanked(record, entries, entries.length) };
    }
    if (hasCustomers) {
        const wanted = Math.max(MIN_CUSTOMER_HOLDERS, Math.floor(usable / CUSTOMER_HOLDER_SHARE));
        const count = Math.min(wanted, entries.length, Math.max(1, usable));
        return { share: Math.max(1, Math.floor(usable / count)), holders: firstRanked(record, entries, count) };
    }
    const count = Math.max(1, Math.floor(usable / HOLDER_SHARE));
    return { share: Math.min(HOLDER_SHARE, usable), holders: firstRanked(record, entries, count) };
}

/**
 * Holders to which one host relays, best first. The order differs between hosts, so that the load is spread over the
 * holders.
 */
export interface Relays {
    readonly all: readonly string[];
    /**
     * The holders in the relaying host's own data centre, which it reaches during a network partition between data
     * centres.
     */
    readonly near: readonly string[];
}

export function relayHostsFor(
    self: HostPlacement,
    endpoint: string,
    plan: ConnectionPlan,
    entries: readonly HostPlacement[],
): Relays {
    const others = plan.holders.filter(id => id !== self.id);
    const all = rendezvousIds(`${self.id}/${endpoint}`, others);
    const neighbours = new Set(entries.filter(host => host.dataCentre === self.dataCentre).map(host => host.id));
    return { all, near: all.filter(id => neighbours.has(id)) };
}

/**
 * An endpoint's holders in the order in which they get a customer's orders. Every host computes the same order, so that
 * the customer's orders meet in one pool and few connections are opened for it.
 */
export function rankHolders(customer: string | undefined, endpoint: string, plan: ConnectionPlan): readonly string[] {
    return rendezvousIds(`${customer ?? ""}/${endpoint}`, plan.holders);
}

/**
 * The first `count` hosts in an order that is the same on every host: those of the endpoint's data centre first, and
 * otherwise by a hash.
 */
function firstRanked(
    { group, id, dataCentre }: EndpointRecord,
    entries: readonly HostPlacement[],
    count: number,
): readonly string[] {
    const key = `${group}/${id}`;
    const idsOf = (isNear: boolean): readonly string[] =>
        entries.filter(host => (host.dataCentre === dataCentre) === isNear).map(host => host.id);
    const near = rendezvousIds(key, idsOf(true));
    const far = near.length < count ? rendezvousIds(key, idsOf(false)) : [];
    return [...near, ...far].slice(0, count);
}
