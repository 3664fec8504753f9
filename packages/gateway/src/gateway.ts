import type { EndpointRecord, PromotionOrder, RelayMessage, RelayResult } from "@medlarledge/protocol";
import { PromotionTimes } from "@medlarledge/routing";
import type { Clock } from "@medlarledge/runtime";
import type { Acceptance, Caller, EndpointConnector } from "@medlarledge/statements";
import { CallerIdentity } from "./caller-identity.js";
import { CallerSession } from "./caller-session.js";
import { ElapsedClock } from "./elapsed-clock.js";
import type { GatewayListener } from "./gateway-event.js";
import { Group } from "./group.js";
import type { PrimaryPermits } from "./primary-permits.js";
import { RelayClient, type RelayLinks } from "./relay-client.js";
import { RelayServer } from "./relay-server.js";
import type { Routing } from "./route.js";
import { StatementRouter } from "./statement-router.js";

export interface GatewayOptions {
    readonly hostId: string;
    readonly dataCentre: string;
    readonly connector: EndpointConnector;
    readonly clock: Clock;
    /** Maximum number of connections that this process may have to an endpoint. */
    readonly share: (record: EndpointRecord, routing: Routing) => number;
    /** Other hosts that may have connections to an endpoint, best first. */
    readonly relays: (record: EndpointRecord, routing: Routing) => readonly string[];
    readonly links: RelayLinks & { reply(host: string, result: RelayResult): void; };
    readonly permits: PrimaryPermits;
    readonly random: () => number;
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
            clock: options.clock,
            links: options.links,
            hosts: (group, endpoint) => this.#relayHosts(group, endpoint),
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
        return true;
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
            return { kind: "unknownDatabase" };
        }
        const identity = new CallerIdentity(caller.key);
        if (identity.identify(route, this.#routing).kind === "notAuthorized") {
            return { kind: "notAuthorized" };
        }
        const session = new CallerSession({
            caller,
            identity,
            clock: this.#options.clock,
            server: this.#statementRouter,
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
            this.#sessionIdle(session);
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

    #sessionIdle(session: CallerSession): void {
        if (this.#closeIdleCause !== undefined && session.isIdle) {
            session.close(this.#closeIdleCause);
        }
    }

    #relayHosts(group: string, endpoint: string): readonly string[] {
        const record = this.#groups.get(group)?.record(endpoint);
        return record === undefined ? [] : this.#options.relays(record, this.#routing);
    }

    #transactionKey(): string {
        this.#transactionCount += 1;
        return `${this.#options.hostId}/${this.#transactionCount}`;
    }

    #group(name: string): Group {
        let group = this.#groups.get(name);
        if (group === undefined) {
            const { dataCentre, connector, clock, permits, random, listener } = this.#options;
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
                listener,
            });
            this.#groups.set(name, group);
        }
        return group;
    }
}
