import type { EndpointRecord, Host } from "@medlarledge/protocol";
import { rendezvous, rendezvousIds } from "@medlarledge/routing";

/** Connections of each endpoint that stay free for control, which reads positions before it promotes. */
const CONTROL_CONNECTIONS = 2;

/** With fewer connections than this for each entry host, only some hosts hold connections and the others relay. */
const MIN_SHARE = 2;

/** Connections of one holder when not all hosts hold some: enough for transactions to pause on a few of them. */
const HOLDER_SHARE = 5;

/** How the connections of one endpoint are divided. */
export interface ConnectionPlan {
    /** Connections that each holder may open. */
    readonly share: number;
    /** Hosts that hold connections, best first; in the endpoint's data centre where there are any. */
    readonly holders: readonly string[];
}

/**
 * Divides the connections of one endpoint among the entry hosts. Every host computes the same plan from the same list,
 * and a host that comes or goes changes the holders of few endpoints.
 */
export function planConnections(record: EndpointRecord, limit: number, entries: readonly Host[]): ConnectionPlan {
    const usable = Math.max(0, limit - CONTROL_CONNECTIONS);
    const ranked = rank(record, entries);
    const share = Math.floor(usable / Math.max(1, entries.length));
    if (share >= MIN_SHARE || entries.length === 0) {
        return { share: Math.max(1, share), holders: ranked };
    }
    const holders = Math.max(1, Math.floor(usable / HOLDER_SHARE));
    return { share: Math.min(HOLDER_SHARE, usable), holders: ranked.slice(0, holders) };
}

/** Holders that one host asks, in order: each host has an order of its own, so that all holders get their part. */
export interface Relays {
    readonly all: readonly string[];
    /** Those in the data centre of the host that asks, which a cut between data centres leaves. */
    readonly near: readonly string[];
}

export function relayHostsFor(self: Host, endpoint: string, plan: ConnectionPlan, entries: readonly Host[]): Relays {
    const others = plan.holders.filter(id => id !== self.id);
    const all = rendezvousIds(`${self.id}/${endpoint}`, others);
    const neighbours = new Set(entries.filter(host => host.dataCentre === self.dataCentre).map(host => host.id));
    return { all, near: all.filter(id => neighbours.has(id)) };
}

/** Hosts of the endpoint's data centre first; within a data centre by a hash that is the same on every host. */
function rank({ group, id, dataCentre }: EndpointRecord, entries: readonly Host[]): readonly string[] {
    const ranked = rendezvous(`${group}/${id}`, entries);
    const near = ranked.filter(host => host.dataCentre === dataCentre);
    const far = ranked.filter(host => host.dataCentre !== dataCentre);
    return [...near, ...far].map(host => host.id);
}
