import type { Endpoint, Host } from "@medlarledge/protocol";

// Connections that stay free for control: reading positions, promotion, fencing.
const CONTROL_CONNECTIONS = 2;

/**
 * Orders hosts by their weight for a key (highest random weight hashing). Removing a host changes the choice only for
 * the keys that it came first for.
 */
export function rendezvous(key: string, hosts: readonly Host[]): readonly Host[] {
    const byId = new Map(hosts.map(host => [host.id, host]));
    return rendezvousIds(key, [...byId.keys()]).flatMap(id => byId.get(id) ?? []);
}

/** As `rendezvous`, for ids. */
export function rendezvousIds(key: string, ids: readonly string[]): readonly string[] {
    return ids
        .map(id => ({ id, weight: hashText(`${key}\n${id}`) }))
        .sort((left, right) => right.weight - left.weight || (left.id < right.id ? -1 : 1))
        .map(entry => entry.id);
}

/** The host that manages an endpoint's slots: one of its data centre, or of any when none is there. */
export function chooseSlotManager(endpoint: Endpoint, hosts: readonly Host[]): Host | undefined {
    const near = hosts.filter(host => host.dataCentre === endpoint.dataCentre);
    return first(endpointKey(endpoint), near.length > 0 ? near : hosts);
}

/** The first of `rendezvous`, without sorting: this is asked for every statement. */
function first(key: string, hosts: readonly Host[]): Host | undefined {
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

/** Identifies an endpoint across databases. */
export function endpointKey(endpoint: Pick<Endpoint, "database" | "id">): string {
    return `${endpoint.database}/${endpoint.id}`;
}

/**
 * Connections that one host may hold to an endpoint. Every registered host has the same share, so that the sum stays
 * within the endpoint's limit whatever each host knows of the others. Zero means that statements are relayed.
 */
export function connectionShare(endpoint: Endpoint, hosts: readonly Host[], hostId: string): number {
    if (!hosts.some(host => host.id === hostId)) {
        return 0;
    }
    return Math.max(0, Math.floor((endpoint.connections - CONTROL_CONNECTIONS) / hosts.length));
}

/** FNV-1a over UTF-16 units, then the 32-bit finalizer of MurmurHash3, which spreads keys that differ at the end. */
function hashText(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
