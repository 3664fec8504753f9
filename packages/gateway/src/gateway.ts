import type { EndpointRecord, PromotionOrder, RelayMessage, RelayResult } from "@medlarledge/protocol";
import { PromotionTimes } from "@medlarledge/routing";
import type { Clock } from "@medlarledge/runtime";
import type { Acceptance, Caller, EndpointConnector } from "@medlarledge/statements";
import { CallerIdentity, type Identification } from "./caller-identity.js";
import { CallerSession } from "./caller-session.js";
import { ElapsedClock } from "./elapsed-clock.js";
import { type GatewayListener, KeyRefusal } from "./gateway-event.js";
import { Group } from "./group.js";
import type { OperationLimits } from "./operation-limits.js";
import type { PrimaryPermits } from "./primary-permits.js";
import { RelayClient, type RelayLinks } from "./relay-client.js";
import { RelayServer } from "./relay-server.js";
import type { Routing } from "./route.js";
import { StatementRouter } from "./statement-router.js";

type RelayHosts = (record: EndpointRecord, routing: Routing, customer: string | undefined) => readonly string[];

export interface GatewayOptions {
    readonly hostId: string;
    /** Random id of this process, which distinguishes it from former processes of the host. */
    readonly incarnation: string;
    readonly dataCentre: string;
    readonly connector: EndpointConnector;
    readonly clock: Clock;
    /** Maximum number of connections that this process may have to an endpoint. */
    readonly share: (record: EndpointRecord, routing: Routing) => number;
    /** Other hosts that may have connections to an endpoint for a customer, best first. */
    readonly relays: RelayHosts;
    /** Those of `relays` that run a customer's orders rather than this host. */
    readonly preferredRelays: RelayHosts;
    readonly links: RelayLinks & { reply(host: string, result: RelayResult): void; };
    readonly permits: PrimaryPermits;
    /** Returns whether the keys of the configuration in force may be accepted now. */
    readonly acceptsKeys: () => boolean;
    /** Undefined where limits are not enforced. */
    readonly limits: OperationLimits | undefined;
    readonly random: () => number;
    /**
     * Whether hosts report the load of endpoints with the results of relayed orders and divide reads by it. Otherwise
     * each read goes to the endpoint that is cheapest by this host's own measurements.
     */
    readonly usesLoadReports: boolean;
    /**
     * Time in ms for which a leaving endpoint still serves. A primary that leaves is used until it is replaced, and at
     * most for this time. Undefined if endpoints promise no time.
     */
    readonly drainMs: number | undefined;
    readonly listener: GatewayListener;
}

/** Routing before the first configuration arrives. */
const EMPTY_ROUTING: Routing = {
    number: 0,
    routes: new Map(),
    groups: new Map(),
    customers: undefined,
    transactionIdleMs: 3_000,
};

/** Identifications with which a caller is not accepted. */
const REFUSED_IDENTIFICATIONS: Readonly<Partial<Record<Identification["kind"], KeyRefusal>>> = {
    notAuthorized: KeyRefusal.NotAuthorized,
    unproved: KeyRefusal.Unproved,
};

/** Serves the callers of one process over its connections to endpoints and those of other entry hosts. */
export class Gateway {
    readonly #options: GatewayOptions;
    readonly #elapsed: ElapsedClock;
    readonly #groups = new Map<string, Group>();
    readonly #promotionTimes = new PromotionTimes();
    readonly #sessions = new Set<CallerSession>();
    readonly #statementRouter: StatementRouter;
    readonly #relay: RelayClient;
    readonly #relayServer: RelayServer;
    #routing: Routing = EMPTY_ROUTING;
    #closeIdleCause: string | undefined;
    #transactionCount = 0;

    constructor(options: GatewayOptions) {
        this.#options = options;
        this.#elapsed = new ElapsedClock(options.clock);
        this.#statementRouter = new StatementRouter(options.clock, ({ requestId, route }, retry) => {
            options.listener({ kind: "retried", requestId, group: route.group, ...retry });
        });
        this.#relay = new RelayClient({
            incarnation: options.incarnation,
            clock: options.clock,
            links: options.links,
            hosts: (...order) => this.#relayHosts(options.relays, ...order),
            preferredHosts: (...order) => this.#relayHosts(options.preferredRelays, ...order),
        });
        this.#relayServer = new RelayServer(
            name => this.#groups.get(name),
            (host, result) => options.links.reply(host, result),
        );
    }

    get routing(): Routing {
        return this.#routing;
    }

    /** Number of connected callers. */
    get callers(): number {
        return this.#sessions.size;
    }

    /**
     * Applies a configuration. Returns false, without applying it, unless its number is higher than that of the current
     * one.
     */
    configure(routing: Routing): boolean {
        if (routing.number <= this.#routing.number) {
            return false;
        }
        this.#routing = routing;
        this.#endRevokedSessions([...this.#sessions]);
        return true;
    }

    #endRevokedSessions(sessions: readonly CallerSession[]): void {
        const counts = { closed: 0, rolledBack: 0 };
        for (const session of sessions) {
            const revocation = session.endIfRevoked();
            if (revocation !== undefined) {
                counts[revocation] += 1;
            }
        }
        if (counts.closed + counts.rolledBack > 0) {
            this.#options.listener({ kind: "keysRevoked", configuration: this.#routing.number, ...counts });
        }
    }

    /** Replaces the endpoints of a group by those of `records`, which lists all that have not left. */
    updateGroup(name: string, records: readonly EndpointRecord[]): void {
        this.#group(name).update(records);
    }

    /** Records that control ordered the promotion of an endpoint. */
    ordered(order: PromotionOrder): void {
        this.#group(order.group).ordered(order);
    }

    /** Handles a message from another entry host. */
    relayMessageReceived(from: string, message: RelayMessage): void {
        switch (message.kind) {
            case "relayOrder":
                void this.#relayServer.ordered(from, message);
                break;
            case "relayResult":
                this.#relay.resultReceived(message);
                break;
            case "relayEnd":
                this.#relayServer.ended(message);
                break;
            case "relayCancel":
                this.#relayServer.cancelled(message);
                break;
        }
    }

    /** Returns true while orders or transactions run at the other entry host for this one, or here for it. */
    isRelayingWith(host: string): boolean {
        return this.#relay.uses(host) || this.#relayServer.uses(host);
    }

    /** Maintains the connections and probes the endpoints of all groups; to be called about every 50 ms. */
    check(): void {
        for (const group of this.#groups.values()) {
            group.check();
        }
    }

    /** Handles the loss of the link to another entry host. */
    disconnected(host: string): void {
        this.#relay.disconnected(host);
        this.#relayServer.disconnected(host);
    }

    /** Endpoint groups that this process uses, by name. */
    get groups(): ReadonlyMap<string, Group> {
        return this.#groups;
    }

    /** Starts a session for a caller, or says why that is not possible. */
    accept(caller: Caller): Acceptance {
        if (this.#routing === EMPTY_ROUTING) {
            return { kind: "unavailable" };
        }
        const route = this.#routing.routes.get(caller.database);
        if (route === undefined) {
            const { number: configuration } = this.#routing;
            this.#options.listener({ kind: "unknownDatabase", database: caller.database, configuration });
            return { kind: "unknownDatabase" };
        }
        const identity = new CallerIdentity(caller.key, this.#options.acceptsKeys);
        const refusal = REFUSED_IDENTIFICATIONS[identity.identify(route, this.#routing).kind];
        if (refusal !== undefined) {
            this.#options.listener({ kind: "keyRefused", database: caller.database, refusal });
            return { kind: refusal === KeyRefusal.NotAuthorized ? "notAuthorized" : "unavailable" };
        }
        const session = new CallerSession({
            caller,
            identity,
            clock: this.#options.clock,
            server: this.#statementRouter,
            limits: this.#options.limits,
            routing: () => this.#routing,
            group: name => this.#group(name),
            transactionKey: () => this.#transactionKey(),
            listener: this.#options.listener,
            idle: idle => this.#sessionIdle(idle),
            ended: ended => this.#sessions.delete(ended),
        });
        this.#sessions.add(session);
        return { kind: "accepted", handler: session };
    }

    /**
     * Closes idle sessions, and others as soon as they are idle, so that their callers reconnect, possibly to another
     * host.
     * @param cause why sessions are closed; undefined to close no more sessions
     */
    closeIdleSessions(cause: string | undefined): void {
        this.#closeIdleCause = cause;
        for (const session of [...this.#sessions]) {
            this.#closeIfUnwanted(session);
        }
    }

    /** Closes idle sessions whose requests need a key, so that their callers reconnect, possibly to another host. */
    closeIdleKeyedSessions(cause: string): void {
        for (const session of [...this.#sessions]) {
            if (session.isIdle && session.needsKey) {
                session.close(cause);
            }
        }
    }

    /** Counts the reachable and unreachable endpoints in other data centres to which this host may have connections. */
    remoteReachability(): { readonly reachable: number; readonly unreachable: number; } {
        const reaches = [...this.#groups.values()].map(group => group.remoteReachability());
        return {
            reachable: reaches.reduce((sum, reach) => sum + reach.reachable, 0),
            unreachable: reaches.reduce((sum, reach) => sum + reach.unreachable, 0),
        };
    }

    /** Probes all reachable endpoints of other data centres that have not just answered. */
    probeRemoteEndpoints(): void {
        for (const group of this.#groups.values()) {
            group.probeRemoteEndpoints();
        }
    }

    /** Rolls back the open transactions; their callers get an error at the next statement. */
    abortTransactions(cause: string): void {
        for (const session of this.#sessions) {
            session.abortTransaction(cause);
        }
    }

    /** Closes all sessions and the idle connections to endpoints. */
    close(cause: string): void {
        for (const session of [...this.#sessions]) {
            session.close(cause);
        }
        for (const group of this.#groups.values()) {
            group.close();
        }
    }

    /** A session has answered its requests, during which its key may have been revoked. */
    #sessionIdle(session: CallerSession): void {
        this.#endRevokedSessions([session]);
        this.#closeIfUnwanted(session);
    }

    #closeIfUnwanted(session: CallerSession): void {
        if (this.#closeIdleCause !== undefined && session.isIdle) {
            session.close(this.#closeIdleCause);
        }
    }

    #relayHosts(hosts: RelayHosts, group: string, endpoint: string, customer: string | undefined): readonly string[] {
        const record = this.#groups.get(group)?.record(endpoint);
        return record === undefined ? [] : hosts(record, this.#routing, customer);
    }

    #transactionKey(): string {
        this.#transactionCount += 1;
        return `${this.#options.hostId}/${this.#options.incarnation}/${this.#transactionCount}`;
    }

    #group(name: string): Group {
        let group = this.#groups.get(name);
        if (group === undefined) {
            const { dataCentre, connector, clock, permits, random, usesLoadReports, drainMs, listener } = this.#options;
            group = new Group({
                name,
                dataCentre,
                connector,
                clock,
                elapsed: this.#elapsed,
                share: record => this.#options.share(record, this.#routing),
                relay: this.#relay,
                permits,
                promotionTimes: this.#promotionTimes,
                random,
                usesLoadReports,
                drainMs,
                listener,
            });
            this.#groups.set(name, group);
        }
        return group;
    }
}
