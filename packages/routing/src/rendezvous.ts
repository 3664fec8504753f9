import type { Endpoint, Host, HostPlacement } from "@medlarledge/protocol";

// Connections reserved for control: position queries, promotion and fencing.
const CONTROL_CONNECTIONS = 2;

/**
 * Orders hosts by their weight for a key (rendezvous or highest random weight hashing). Removing a host changes the
 * first choice only for the keys whose first choice it was.
 */
export function rendezvous<T extends HostPlacement>(key: string, hosts: readonly T[]): readonly T[] {
    const byId = new Map(hosts.map(host => [host.id, host]));
    return rendezvousIds(key, [...byId.keys()]).flatMap(id => byId.get(id) ?? []);
}

/** Like `rendezvous`, but for host ids. */
export function rendezvousIds(key: string, ids: readonly string[]): readonly string[] {
    return ids
        .map(id => ({ id, weight: hashText(`${key}\n${id}`) }))
        .sort((left, right) => right.weight - left.weight || (left.id < right.id ? -1 : 1))
        .map(entry => entry.id);
}

/** Chooses the host that manages an endpoint's slots: one in its data centre, or in any if its own has no host. */
export function chooseSlotManager(endpoint: Endpoint, hosts: readonly Host[]): Host | undefined {
    const local = hosts.filter(host => host.dataCentre === endpoint.dataCentre);
    return firstHost(endpointKey(endpoint), local.length > 0 ? local : hosts);
}

/** Returns the first host of `rendezvous` without sorting, since this runs for every statement. */
function firstHost(key: string, hosts: readonly Host[]): Host | undefined {
    if (hosts.length < 2) {
        return hosts[0];
    }
    let best: Host | undefined;
    let bestWeight = -1;
    for (const host of hosts) {
        const weight = hashText(`${key}\n${host.id}`);
        if (weight > bestWeight || (weight === bestWeight && best !== undefined && host.id < best.id)) {
            best = host;
            bestWeight = weight;
        }
    }
    return best;
}

/** Returns a key that identifies an endpoint across databases. */
export function endpointKey(endpoint: Pick<Endpoint, "database" | "id">): string {
    return `${endpoint.database}/${endpoint.id}`;
}

/**
 * Returns the number of connections that one host may hold to an endpoint. Every registered host has the same share, so
 * that the sum stays within the endpoint's limit without coordination. With 0, statements are relayed by other hosts.
 */
export function connectionShare(endpoint: Endpoint, hosts: readonly Host[], hostId: string): number {
    if (!hosts.some(host => host.id === hostId)) {
        return 0;
    }
    return Math.max(0, Math.floor((endpoint.connections - CONTROL_CONNECTIONS) / hosts.length));
}

/** FNV-1a over UTF-16 code units, then MurmurHash3's 32-bit finalizer, which spreads keys that differ at the end. */
function hashText(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
