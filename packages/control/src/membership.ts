import {
    type DatabaseView,
    type EndpointObservation,
    EndpointState,
    type Host,
    type RegisteredEndpoint,
    Suspicion,
} from "@medlarledge/protocol";
import type { ControlCommand } from "./command.js";
import { commandKey } from "./command.js";
import type { LeaderContext } from "./leader-context.js";
import { startedTerm, viewOf } from "./view.js";

/** A leaving replica is marked as left after this time even if no host observed it closing its connections. */
export const MAX_LEAVING_MS = 60_000;

/** Time for running statements on a leaving primary before it is replaced; it receives no new ones. */
export const PRIMARY_DRAIN_MS = 500;

/** A host's share of the connections is released after this silence; the host closes its own after 1 h 50 min. */
export const HOST_REMOVAL_MS = 2 * 60 * 60 * 1_000;

/** Interval of the checks that run over all hosts and databases. */
const SCAN_MS = 100;

/** Registers and removes hosts and marks leaving endpoints as left. */
export class Membership {
    readonly #proposed = new Set<string>();
    readonly #leavingSince = new Map<string, number>();
    #scannedAt = Number.NEGATIVE_INFINITY;

    clear(): void {
        this.#proposed.clear();
        this.#leavingSince.clear();
    }

    isRegistered(context: LeaderContext, host: Host): boolean {
        return context.state.host(host.id)?.incarnation === host.incarnation;
    }

    /** Registers a host before its first lease, once the lease of an earlier process of the same host has expired. */
    register(context: LeaderContext, host: Host): void {
        if (!this.isRegistered(context, host) && context.now > context.hosts.otherLeaseUntil(host)) {
            this.#propose(context, { kind: "registerHost", host });
        }
    }

    /** A leaving endpoint that closes its connections has left. */
    recordObservation(context: LeaderContext, { database, endpoint, suspicion }: EndpointObservation): void {
        const known = viewOf(context.state, database).endpoints.find(({ id }) => id === endpoint);
        if (known?.state === EndpointState.Leaving && suspicion === Suspicion.Closed) {
            this.#propose(context, { kind: "endpointLeft", database, id: endpoint, sequence: known.sequence });
        }
    }

    /** `replacePrimary` is called for databases whose primary has left, or leaves while another endpoint stays. */
    tick(context: LeaderContext, replacePrimary: (database: string, reason: string) => void): void {
        if (context.now - this.#scannedAt < SCAN_MS) {
            return;
        }
        this.#scannedAt = context.now;
        this.#scanHosts(context);
        for (const view of context.state.databases()) {
            const primary = startedTerm(view)?.primary;
            for (const endpoint of view.endpoints) {
                if (endpoint.id !== primary) {
                    this.#scanLeaving(context, endpoint);
                }
                else if (endpoint.state === EndpointState.Left) {
                    replacePrimary(view.database, "the primary has left");
                }
                else if (this.#mustReplacePrimary(context, view, endpoint)) {
                    replacePrimary(view.database, "the primary leaves");
                }
            }
        }
    }

    #scanHosts(context: LeaderContext): void {
        for (const record of context.hosts.all()) {
            const { host, connected, draining, lastContactAt: heardAt, leaseUntil } = record;
            const gone = !connected && (draining || context.now - heardAt >= HOST_REMOVAL_MS);
            if (gone && context.now > leaseUntil && this.isRegistered(context, host)) {
                this.#propose(context, { kind: "removeHost", id: host.id, incarnation: host.incarnation });
            }
        }
        context.hosts.removeExpired((host) => this.isRegistered(context, host), context.now);
    }

    #mustReplacePrimary(context: LeaderContext, view: DatabaseView, primary: RegisteredEndpoint): boolean {
        const hasOther = view.endpoints.some(({ id, state }) => id !== primary.id && state === EndpointState.Active);
        if (primary.state !== EndpointState.Leaving || !hasOther) {
            return false;
        }
        return context.now - this.#leavingSinceAt(context, primary) >= PRIMARY_DRAIN_MS;
    }

    /** Time at which this leader first found the endpoint leaving. */
    #leavingSinceAt(context: LeaderContext, endpoint: RegisteredEndpoint): number {
        const key = leaveKey(endpoint);
        const since = this.#leavingSince.get(key) ?? context.now;
        this.#leavingSince.set(key, since);
        return since;
    }

    #scanLeaving(context: LeaderContext, endpoint: RegisteredEndpoint): void {
        if (endpoint.state !== EndpointState.Leaving) {
            return;
        }
        if (context.now - this.#leavingSinceAt(context, endpoint) >= MAX_LEAVING_MS) {
            this.#leavingSince.delete(leaveKey(endpoint));
            const { database, id, sequence } = endpoint;
            this.#propose(context, { kind: "endpointLeft", database, id, sequence });
        }
    }

    #propose(context: LeaderContext, command: ControlCommand): void {
        const key = commandKey(command);
        if (this.#proposed.has(key)) {
            return;
        }
        this.#proposed.add(key);
        context.propose(command, () => this.#proposed.delete(key));
    }
}

function leaveKey({ database, id, sequence }: RegisteredEndpoint): string {
    return JSON.stringify([database, id, sequence]);
}
