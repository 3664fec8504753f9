import { type EndpointObservation, EndpointState, type Host, Suspicion } from "@medlarledge/protocol";
import type { ControlCommand } from "./command.js";
import { commandKey } from "./command.js";
import type { LeaderContext } from "./leader-context.js";
import { startedTerm, viewOf } from "./view.js";

/** A leaving replica counts as left after this time even if no host saw it close its connections. */
export const LEAVE_LIMIT_MS = 60_000;

/** A host's share of the connections is returned after this silence; it closes its own after 1 h 50 min. */
export const HOST_SILENCE_MS = 2 * 60 * 60 * 1_000;

/** Interval of the checks that run over all hosts and databases. */
const SCAN_MS = 100;

/** Registration of hosts and the end of endpoints that leave. */
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

    /** Registers a host before its first lease. An earlier process of the same host is waited out first. */
    register(context: LeaderContext, host: Host): void {
        if (!this.isRegistered(context, host) && context.now > context.hosts.otherLeaseUntil(host)) {
            this.#propose(context, { kind: "registerHost", host });
        }
    }

    /** A leaving endpoint that closes its connections has left. */
    observed(context: LeaderContext, { database, endpoint, suspicion }: EndpointObservation): void {
        const known = viewOf(context.state, database).endpoints.find(({ id }) => id === endpoint);
        if (known?.state === EndpointState.Leaving && suspicion === Suspicion.Closed) {
            this.#propose(context, { kind: "endpointLeft", database, id: endpoint, sequence: known.sequence });
        }
    }

    tick(context: LeaderContext, primaryLeft: (database: string) => void): void {
        if (context.now - this.#scannedAt < SCAN_MS) {
            return;
        }
        this.#scannedAt = context.now;
        this.#scanHosts(context);
        for (const view of context.state.databases()) {
            const primary = startedTerm(view)?.primary;
            for (const endpoint of view.endpoints) {
                if (endpoint.id === primary && endpoint.state === EndpointState.Left) {
                    primaryLeft(view.database);
                }
                else if (endpoint.id !== primary) {
                    this.#scanLeaving(context, endpoint);
                }
            }
        }
    }

    #scanHosts(context: LeaderContext): void {
        for (const record of context.hosts.all()) {
            const { host, connected, draining, heardAt, leaseUntil } = record;
            const gone = !connected && (draining || context.now - heardAt >= HOST_SILENCE_MS);
            if (gone && context.now > leaseUntil && this.isRegistered(context, host)) {
                this.#propose(context, { kind: "removeHost", id: host.id, incarnation: host.incarnation });
            }
        }
        context.hosts.forget((host) => this.isRegistered(context, host), context.now);
    }

    #scanLeaving(
        context: LeaderContext,
        endpoint: { database: string; id: string; sequence: number; state: string; },
    ): void {
        const { database, id, sequence } = endpoint;
        const key = JSON.stringify([database, id, sequence]);
        if (endpoint.state !== EndpointState.Leaving) {
            return;
        }
        const since = this.#leavingSince.get(key) ?? context.now;
        this.#leavingSince.set(key, since);
        if (context.now - since >= LEAVE_LIMIT_MS) {
            this.#leavingSince.delete(key);
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
