import { EndpointObserver, HostLease } from "@medlarledge/control";
import type { ControlMessage, Endpoint, EndpointProbeResult, Host, Suspicion, Term } from "@medlarledge/protocol";
import { Channel, type Clock } from "@medlarledge/runtime";
import { LeaderClient } from "@medlarledge/runtime";
import type { HostSettings } from "@medlarledge/settings";
import type { Log } from "@medlarledge/telemetry";
import { merge, periodic } from "most";
import type { ConfigurationHolder } from "./configuration-holder.js";
import { LeaderTracker } from "./leader-tracker.js";
import { ViewTable } from "./view-table.js";

const TICK_MS = 10;

/** Time that a probe on the leader's request may take. */
const CONFIRM_TIMEOUT_MS = 100;

/** Messages that control sends to an entry host. */
export type EntryMessage = Extract<
    ControlMessage,
    {
        kind:
            | "leaseGranted"
            | "leaseRefused"
            | "revoke"
            | "viewUpdate"
            | "configurationUpdate"
            | "confirmEndpoint"
            | "silentHosts"
            | "leaderReply";
    }
>;

export type EntryEvent =
    | { readonly kind: "tick"; }
    | { readonly kind: "message"; readonly from: string; readonly message: EntryMessage; };

export interface EntryTaskOptions {
    readonly self: Host;
    readonly timing: HostSettings["timing"];
    readonly listed: readonly string[];
    readonly configuration: ConfigurationHolder;
    readonly clock: Clock;
    readonly log: Log;
    readonly send: (to: string, message: ControlMessage) => boolean;
    readonly probe: (endpoint: Endpoint, timeoutMs: number) => Promise<EndpointProbeResult | undefined>;
    /** The view, the configuration or the lease changed. */
    readonly changed: () => void;
}

type MessageHandlers = {
    readonly [K in EntryMessage["kind"]]: (message: Extract<EntryMessage, { kind: K; }>, from: string) => void;
};

/** An entry host's dealings with control: its lease, the view, the configuration and its observations. */
export class EntryTask {
    readonly #options: EntryTaskOptions;
    readonly #events = new Channel<EntryEvent>();
    readonly #lease: HostLease;
    readonly #leaders: LeaderTracker;
    readonly #client: LeaderClient;
    readonly #observer = new EndpointObserver();
    readonly view = new ViewTable();
    #draining = false;
    #stopped = false;
    #hadLease = false;
    #left = false;
    #lastLeaseAt = Number.NEGATIVE_INFINITY;

    readonly #handlers: MessageHandlers = {
        leaseGranted: (message, from) => {
            this.#leaders.confirmed(from);
            this.#lease.granted(message, this.#options.clock.now());
            this.#checkLease();
        },
        leaseRefused: (message, from) => this.#leaders.refused(from, message.leader),
        revoke: (message, from) => {
            this.#lease.revoke(message.database, message.term);
            this.#options.send(from, { kind: "revoked", database: message.database, term: message.term });
            this.#options.changed();
        },
        viewUpdate: message => {
            this.#lease.applyView(message.databases);
            if (this.view.apply(message)) {
                this.#options.changed();
            }
        },
        configurationUpdate: message => this.#configure(message.change),
        confirmEndpoint: (message, from) => void this.#confirm(message, from),
        silentHosts: message => {
            this.view.silent(message.ids);
            this.#options.changed();
        },
        leaderReply: message => this.#client.handleReply(message),
    };

    constructor(options: EntryTaskOptions) {
        this.#options = options;
        this.#lease = new HostLease(options.timing);
        // Hosts begin with different control hosts, so that a first search spreads over them.
        this.#leaders = new LeaderTracker(options.listed, options.self.id.length);
        this.#client = new LeaderClient(
            options.self.incarnation,
            request => options.send(this.#leaders.target(), request),
        );
    }

    start(): void {
        const ticks = periodic(TICK_MS).map((): EntryEvent => ({ kind: "tick" }));
        void merge(this.#events.stream, ticks)
            .takeWhile(() => !this.#stopped)
            .observe(event => this.#handle(event));
    }

    stop(): void {
        this.#stopped = true;
    }

    /** Tells control at the next renewal that this host leaves. */
    drain(): void {
        this.#draining = true;
    }

    /**
     * Ends the registration of this host, and with it the renewals. To be called when no request runs any more; the
     * answer may be missing, since a host must be able to stop without control.
     */
    async leave(timeoutMs: number): Promise<void> {
        this.#left = true;
        const { id, incarnation } = this.#options.self;
        await this.request("leaveHost", { id, incarnation }, timeoutMs);
    }

    received(from: string, message: EntryMessage): void {
        this.#events.push({ kind: "message", from, message });
    }

    /** Asks the leader; see LeaderClient. */
    request(name: string, body: unknown, timeoutMs: number): ReturnType<LeaderClient["request"]> {
        const now = this.#options.clock.now();
        return this.#client.request(name, body, now + timeoutMs, now);
    }

    /** True when a write under this term may be acknowledged at this moment. */
    mayAcknowledge(database: string, term: Term): boolean {
        const { clock } = this.#options;
        return this.#lease.mayAcknowledge(database, term, clock.now(), clock.wallClock());
    }

    hasLease(): boolean {
        return this.#options.clock.now() < this.#lease.validUntil();
    }

    /** Monotonic time at which this host last held a valid lease. */
    lastLeaseAt(): number {
        return this.#lastLeaseAt;
    }

    /** Time since this host last held a valid lease; a host that never held one is not cut off, it has not begun. */
    cutOffForMs(): number {
        return Number.isFinite(this.#lastLeaseAt) ? this.#options.clock.now() - this.#lastLeaseAt : 0;
    }

    /** Takes what the pools or a probe learned of an endpoint, and reports what control must know. */
    observed(endpoint: Endpoint, outcome: "ok" | "closed" | "timeout"): void {
        const key = `${endpoint.database}/${endpoint.id}`;
        const suspicion = this.#observer.recordOutcome(key, outcome, this.#options.clock.now());
        const current = this.view.database(endpoint.database)?.terms.findLast(term => term.start !== undefined);
        if (suspicion !== undefined && current?.primary === endpoint.id) {
            this.#report(this.#leaders.target(), endpoint.database, endpoint.id, current.term, suspicion);
        }
    }

    /** Asks an endpoint over a connection of its own, when its pool cannot tell whether it is silent. */
    async probe(endpoint: Endpoint): Promise<void> {
        const reading = await this.#options.probe(endpoint, CONFIRM_TIMEOUT_MS);
        this.observed(endpoint, reading === undefined ? "timeout" : "ok");
    }

    #handle(event: EntryEvent): void {
        if (event.kind === "tick") {
            this.#tick();
            return;
        }
        const handler = this.#handlers[event.message.kind] as (message: EntryMessage, from: string) => void;
        handler(event.message, event.from);
    }

    #tick(): void {
        const { clock, configuration } = this.#options;
        const now = clock.now();
        this.#lease.detectSuspension(now, clock.wallClock());
        this.#client.tick(now);
        this.#checkLease();
        const renewal = this.#left ? undefined : this.#lease.nextRenewal(now);
        if (renewal === undefined) {
            return;
        }
        this.#options.send(this.#leaders.target(), {
            kind: "renewLease",
            sequence: renewal.sequence,
            configurationNumber: configuration.number,
            configurationSince: configuration.inForce?.since ?? 0,
            viewVersion: this.view.version,
            draining: this.#draining,
        });
        this.#leaders.sent();
    }

    #checkLease(): void {
        const hasLease = this.hasLease();
        if (hasLease) {
            this.#lastLeaseAt = this.#options.clock.now();
        }
        if (hasLease !== this.#hadLease) {
            this.#hadLease = hasLease;
            this.#options.log.event(hasLease ? "leaseRegained" : "leaseLost");
            this.#options.changed();
        }
    }

    #configure(change: Parameters<ConfigurationHolder["apply"]>[0]): void {
        const { configuration, clock, log } = this.#options;
        const outcome = configuration.apply(change, clock.wallClock());
        if (outcome.kind === "inForce") {
            log.event("configurationInForce", { number: change.number, operator: change.operator });
            this.#options.changed();
        }
        else if (outcome.kind === "invalid") {
            log.event("unexpected", {
                reason: "an accepted configuration is invalid here",
                findings: outcome.findings,
            });
        }
    }

    async #confirm(message: Extract<EntryMessage, { kind: "confirmEndpoint"; }>, from: string): Promise<void> {
        const { database, endpoint: id, term } = message;
        const endpoint = this.view.database(database)?.endpoints.find(known => known.id === id);
        if (endpoint === undefined) {
            return;
        }
        const reading = await this.#options.probe(endpoint, CONFIRM_TIMEOUT_MS);
        const current = this.#observer.current(`${database}/${id}`);
        const suspicion = reading !== undefined ? "reachable" : current === "closed" ? "closed" : "silent";
        this.#report(from, database, id, term, suspicion);
    }

    #report(to: string, database: string, endpoint: string, term: Term, suspicion: Suspicion): void {
        this.#options.send(to, { kind: "endpointObservation", database, endpoint, term, suspicion });
    }
}
