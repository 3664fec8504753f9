import type { Routing } from "@medlarledge/gateway";
import type { EndpointRecord, Host } from "@medlarledge/protocol";
import { planConnections, relayHostsFor, type Relays } from "./connection-share.js";

/**
 * For this time after its start, a process opens only a part of its connections. After a power loss endpoints still count
 * the connections of the former processes, for up to 3 s, so all new processes have to share the few that are left.
 */
const RAMP_UP_MS = 2_000;
const RAMP_UP_SHARE = 0.5;

/** One host's part in the division of an endpoint's connections. */
interface OwnPlan {
    /** Maximum number of connections of the host. */
    readonly share: number;
    /** Other hosts that have connections. */
    readonly relays: Relays;
}

/** One host's part in the division of the connections of all endpoints. */
export class ConnectionPlans {
    readonly #self: Host;
    readonly #startedAt: number;
    /** Cached plans by endpoint id, valid until the hosts or the configuration change. */
    readonly #plans = new Map<string, OwnPlan>();
    #entries: readonly Host[] = [];

    constructor(self: Host, startedAt: number) {
        this.#self = self;
        this.#startedAt = startedAt;
    }

    /** The entry hosts among which connections are divided. */
    get entries(): readonly Host[] {
        return this.#entries;
    }

    hostsChanged(entries: readonly Host[]): void {
        this.#entries = entries;
        this.#plans.clear();
    }

    configurationChanged(): void {
        this.#plans.clear();
    }

    /** Returns the maximum number of connections of this host to an endpoint at present. */
    share(record: EndpointRecord, routing: Routing, now: number): number {
        const { share } = this.#plan(record, routing);
        const isRampingUp = now - this.#startedAt < RAMP_UP_MS;
        return isRampingUp ? Math.min(share, Math.max(1, Math.floor(share * RAMP_UP_SHARE))) : share;
    }

    /** Returns the hosts that may run orders for an endpoint; for an isolated host, only those in its data centre. */
    relays(record: EndpointRecord, routing: Routing, isIsolated: boolean): readonly string[] {
        const { all, near } = this.#plan(record, routing).relays;
        return isIsolated ? near : all;
    }

    #plan(record: EndpointRecord, routing: Routing): OwnPlan {
        const known = this.#plans.get(record.id);
        if (known !== undefined) {
            return known;
        }
        const plan = planConnections(record, routing.groups.get(record.group)?.connections ?? 0, this.#entries);
        const isHolder = plan.holders.length === 0 || plan.holders.includes(this.#self.id);
        const relays = relayHostsFor(this.#self, record.id, plan, this.#entries);
        const own = { share: isHolder ? plan.share : 0, relays };
        this.#plans.set(record.id, own);
        return own;
    }
}
