/** Connections of each endpoint that stay free for control, which reads positions before it promotes. */
const CONTROL_CONNECTIONS = 2;

/** Share of one entry host while it does not know how many there are. */
const FIRST_SHARE = 1;

/** Connections that one entry host may hold to an endpoint, so that the sum of all stays within the endpoint's limit. */
export function connectionShare(connections: number, entryHosts: number): number {
    if (entryHosts === 0) {
        return FIRST_SHARE;
    }
    return Math.max(1, Math.floor((connections - CONTROL_CONNECTIONS) / entryHosts));
}
