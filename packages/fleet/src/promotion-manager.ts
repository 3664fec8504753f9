import { type MonitorEffect, type MonitorEvent, type MonitorView, PrimaryMonitor } from "@medlarledge/control";
import type { EndpointDirectory } from "@medlarledge/directory";
import type { GroupSettings } from "@medlarledge/gateway";
import type { PrimaryReport, PromotionOrder } from "@medlarledge/protocol";
import type { Clock } from "@medlarledge/runtime";
import type { EndpointConnector } from "@medlarledge/statements";
import type { LogEvent, LogFields } from "@medlarledge/telemetry";
import { probeEndpoint } from "./endpoint-probe.js";
import { type PromotionAuthority, PromotionOutcome } from "./ports.js";

/** Limit for one probe of an endpoint's role and position. */
const PROBE_TIMEOUT_MS = 200;

/** Interval between two probes of primaries that answer, of any groups. */
const PRIMARY_CHECK_INTERVAL_MS = 50;

/** Term of the first leader of the control group. */
const FIRST_TERM = 1;

/** Fencing tokens available in one consensus term. A leader gives far fewer promotion orders. */
const FENCES_PER_TERM = 100_000;

export interface PromotionManagerOptions {
    readonly directory: EndpointDirectory;
    /** The groups of the newest known configuration. Others get no primary, whatever is announced for them. */
    readonly groups: () => ReadonlyMap<string, GroupSettings>;
    readonly connector: EndpointConnector;
    readonly authority: PromotionAuthority;
    /** Name of this host in the calls to the promotion authority. */
    readonly holder: string;
    readonly clock: Clock;
    readonly entries: () => readonly string[];
    /** Requests a report on an endpoint from all entry hosts. */
    readonly check: (group: string, endpoint: string) => void;
    /**
     * Announces an order to all hosts. Resolves to true once the order may be given to the authority, and to false when
     * this host must not give it.
     */
    readonly announce: (order: PromotionOrder) => Promise<boolean>;
    /** Returns true while this host leads the control group and a quorum answers it. */
    readonly leads: () => boolean;
    /** Whether the authority refuses orders with a lower fencing token than it has seen. */
    readonly newerOrdersVoidEarlier: boolean;
    /** The endpoint that hosts use as the primary because of an order; undefined where orders do not decide that. */
    readonly orderedPrimary: (group: string) => string | undefined;
    readonly event: (name: LogEvent, fields: LogFields) => void;
}

type Executors = {
    readonly [K in MonitorEffect["kind"]]: (group: string, effect: Extract<MonitorEffect, { kind: K; }>) => void;
};

/** Runs the primary monitors of all groups while this host leads the control group, and carries out promotions. */
export class PromotionManager {
    readonly #options: PromotionManagerOptions;
    readonly #watches = new Map<string, PrimaryMonitor>();
    #term = 0;
    #fenceCount = 0;
    #primaryCheckedAt = Number.NEGATIVE_INFINITY;

    readonly #executors: Executors = {
        check: (group, { endpoint }) => this.#options.check(group, endpoint),
        read: (group, { endpoint, round }) => void this.#probe(group, endpoint, round),
        suspend: (group, { order }) => void this.#suspend(group, order),
        promote: (group, { order, isAnnounced }) => void this.#promote(group, order, isAnnounced),
        confirm: (group, { order }) => void this.#confirm(group, order),
        event: (_, { name, fields }) => this.#options.event(name, fields),
    };

    constructor(options: PromotionManagerOptions) {
        this.#options = options;
    }

    /** To be called regularly while this host leads in `term`. State of earlier terms is discarded. */
    tick(term: number): void {
        if (term !== this.#term) {
            this.#term = term;
            this.#fenceCount = 0;
            this.#watches.clear();
        }
        for (const group of this.#options.directory.groups()) {
            this.#handle(group, { kind: "tick" });
        }
    }

    /** Handles an entry host's report on a primary. */
    reportReceived(from: string, { group, endpoint, term, reachable }: PrimaryReport): void {
        this.#handle(group, { kind: "report", from, report: { endpoint, term, reachable } });
    }

    #handle(group: string, event: MonitorEvent): void {
        const settings = this.#options.groups().get(group);
        if (settings === undefined) {
            return;
        }
        let watch = this.#watches.get(group);
        if (watch === undefined) {
            watch = new PrimaryMonitor(group, this.#term > FIRST_TERM);
            this.#watches.set(group, watch);
        }
        for (const effect of watch.handle(event, this.#view(group, settings), this.#options.clock.now())) {
            (this.#executors[effect.kind] as (group: string, effect: MonitorEffect) => void)(group, effect);
        }
    }

    #view(group: string, { syncReplicas }: GroupSettings): MonitorView {
        return {
            syncReplicas,
            newerOrdersVoidEarlier: this.#options.newerOrdersVoidEarlier,
            endpoints: this.#options.directory.currentEndpoints(group, this.#options.clock.now()),
            departed: syncReplicas > 0 ? this.#options.directory.departedEndpoints(group) : [],
            entries: this.#options.entries(),
            orderedPrimary: this.#options.orderedPrimary(group),
            nextFencingToken: () => {
                this.#fenceCount += 1;
                return this.#term * FENCES_PER_TERM + this.#fenceCount;
            },
            takePrimaryCheck: () => this.#takePrimaryCheck(),
        };
    }

    #takePrimaryCheck(): boolean {
        const now = this.#options.clock.now();
        const isDue = now - this.#primaryCheckedAt >= PRIMARY_CHECK_INTERVAL_MS;
        this.#primaryCheckedAt = isDue ? now : this.#primaryCheckedAt;
        return isDue;
    }

    async #probe(group: string, endpoint: string, round: number | undefined): Promise<void> {
        const term = this.#term;
        const record = this.#options.directory.record(endpoint);
        const reading = record === undefined
            ? undefined
            : await probeEndpoint(this.#options.connector, record, PROBE_TIMEOUT_MS);
        if (term !== this.#term) {
            return;
        }
        this.#handle(group, { kind: "reading", endpoint, reading, round });
    }

    /** Announces that hosts use no primary. Nothing is given to the authority. */
    async #suspend(group: string, order: PromotionOrder): Promise<void> {
        const term = this.#term;
        const isConfirmed = await this.#options.announce(order);
        if (term === this.#term) {
            this.#handle(group, { kind: "suspended", fence: order.fence, isConfirmed });
        }
    }

    async #promote(group: string, order: PromotionOrder, isAnnounced: boolean): Promise<void> {
        const term = this.#term;
        const { announce, leads } = this.#options;
        const mayGive = (isAnnounced ? await announce(order) : leads()) && term === this.#term;
        await this.#give(group, order, mayGive, "promotionAnswered");
    }

    /** Orders the present primary again. Hosts need not know of that, since they use it already. */
    async #confirm(group: string, order: PromotionOrder): Promise<void> {
        await this.#give(group, order, this.#options.leads(), "primaryConfirmed");
    }

    async #give(group: string, order: PromotionOrder, mayGive: boolean, event: LogEvent): Promise<void> {
        const term = this.#term;
        const { authority, holder } = this.#options;
        if (mayGive) {
            this.#handle(group, { kind: "sent", order });
        }
        const outcome = mayGive ? await authority.promote({ ...order, holder }) : PromotionOutcome.Unknown;
        this.#options.event(event, { ...order, outcome });
        if (term === this.#term) {
            this.#handle(group, { kind: "ordered", fence: order.fence, outcome });
        }
    }
}
