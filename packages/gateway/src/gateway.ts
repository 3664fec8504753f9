import type { EndpointRecord, PromotionOrder, RelayMessage, RelayResult } from "@medlarledge/protocol";
import type { Clock } from "@medlarledge/runtime";
import type { Acceptance, Caller, EndpointConnector } from "@medlarledge/statements";
import { CallerSession } from "./caller-session.js";
import { ElapsedClock } from "./elapsed-clock.js";
import type { GatewayListener } from "./gateway-event.js";
import { Group } from "./group.js";
import { RelayClient, type RelayLinks } from "./relay-client.js";
import { RelayServer } from "./relay-server.js";
import type { Routing } from "./route.js";
import { StatementServer } from "./statement-server.js";

export interface GatewayOptions {
    readonly hostId: string;
    readonly dataCentre: string;
    readonly connector: EndpointConnector;
    readonly clock: Clock;
    /** Connections that this process may hold to an endpoint. */
    readonly share: (record: EndpointRecord, routing: Routing) => number;
    /** Other hosts that may hold connections to an endpoint, best first. */
    readonly relays: (record: EndpointRecord, routing: Routing) => readonly string[];
    readonly links: RelayLinks & { reply(host: string, result: RelayResult): void; };
    readonly random: () => number;
    readonly listener: GatewayListener;
}

/** Before the first configuration arrives. */
const NOTHING_CONFIGURED: Routing = { number: 0, routes: new Map(), groups: new Map(), transactionIdleMs: 3_000 };

/** All callers of one process, and its connections to endpoints. */
export class Gateway {
    readonly #options: GatewayOptions;
    readonly #elapsed: ElapsedClock;
    readonly #groups = new Map<string, Group>();
    readonly #sessions = new Set<CallerSession>();
    readonly #server: StatementServer;
    readonly #relay: RelayClient;
    readonly #relayServer: RelayServer;
    #routing: Routing = NOTHING_CONFIGURED;
    #sheddingCause: string | undefined;
    #transactions = 0;

    constructor(options: GatewayOptions) {
        this.#options = options;
        this.#elapsed = new ElapsedClock(options.clock);
        this.#server = new StatementServer(options.clock, ({ requestId, route }, retry) => {
            options.listener({ kind: "retried", requestId, group: route.group, ...retry });
        });
        this.#relay = new RelayClient({
            clock: options.clock,
            links: options.links,
            hosts: (group, endpoint) => this.#relays(group, endpoint),
        });
        this.#relayServer = new RelayServer(
            name => this.#groups.get(name),
            (host, result) => options.links.reply(host, result),
        );
    }

    get routing(): Routing {
        return this.#routing;
    }

    /** Open callers. */
    get callers(): number {
        return this.#sessions.size;
    }

    /** Takes over a configuration unless a newer one is in force. */
    configure(routing: Routing): boolean {
        if (routing.number <= this.#routing.number) {
            return false;
        }
        this.#routing = routing;
        return true;
    }

    /** Takes over the endpoints of a group that have not left. */
    updateGroup(name: string, records: readonly EndpointRecord[]): void {
        this.#group(name).update(records);
    }

    ordered(order: PromotionOrder): void {
        this.#group(order.group).ordered(order);
    }

    /** Takes a message of another entry host. */
    relayed(from: string, message: RelayMessage): void {
        switch (message.kind) {
            case "relayOrder":
                void this.#relayServer.ordered(from, message);
                break;
            case "relayResult":
                this.#relay.replied(message);
                break;
            case "relayEnd":
                this.#relayServer.ended(message);
                break;
        }
    }

    /** True while orders or transactions run at another entry host for this one, or here for it. */
    relaysWith(host: string): boolean {
        return this.#relay.uses(host) || this.#relayServer.uses(host);
    }

    /** Checks on the endpoints of all groups; to be called about every 50 ms. */
    check(): void {
        for (const group of this.#groups.values()) {
            group.check();
        }
    }

    /** The link to another entry host is lost. */
    disconnected(host: string): void {
        this.#relay.disconnected(host);
        this.#relayServer.disconnected(host);
    }

    /** Groups that this process uses, by name. */
    get groups(): ReadonlyMap<string, Group> {
        return this.#groups;
    }

    /** Begins a session for a caller. */
    accept(caller: Caller): Acceptance {
        if (this.#routing === NOTHING_CONFIGURED) {
            return { kind: "unavailable" };
        }
        if (!this.#routing.routes.has(caller.database)) {
            return { kind: "unknownDatabase" };
        }
        const session = new CallerSession({
            caller,
            clock: this.#options.clock,
            server: this.#server,
            routing: () => this.#routing,
            group: name => this.#group(name),
            transactionKey: () => this.#transactionKey(),
            listener: this.#options.listener,
            idle: idle => this.#idle(idle),
            ended: ended => this.#sessions.delete(ended),
        });
        this.#sessions.add(session);
        return { kind: "accepted", handler: session };
    }

    /**
     * Closes sessions whenever they are idle, so that their callers connect again, perhaps to another host.
     * @param cause why sessions are closed; undefined to let them be
     */
    shed(cause: string | undefined): void {
        this.#sheddingCause = cause;
        for (const session of [...this.#sessions]) {
            this.#idle(session);
        }
    }

    /** How the endpoints of other data centres answer, as far as this host has connections of its own to them. */
    remoteReach(): { readonly reachable: number; readonly unreachable: number; } {
        const reaches = [...this.#groups.values()].map(group => group.remoteReach());
        return {
            reachable: reaches.reduce((sum, reach) => sum + reach.reachable, 0),
            unreachable: reaches.reduce((sum, reach) => sum + reach.unreachable, 0),
        };
    }

    /** Asks all endpoints of other data centres that have not answered just now. */
    probeRemote(): void {
        for (const group of this.#groups.values()) {
            group.probeRemote();
        }
    }

    /** Rolls back the transactions that are still open; their callers learn it at their next statement. */
    abortTransactions(cause: string): void {
        for (const session of this.#sessions) {
            session.abortTransaction(cause);
        }
    }

    close(cause: string): void {
        for (const session of [...this.#sessions]) {
            session.close(cause);
        }
        for (const group of this.#groups.values()) {
            group.close();
        }
    }

    #idle(session: CallerSession): void {
        if (this.#sheddingCause !== undefined && session.isIdle) {
            session.close(this.#sheddingCause);
        }
    }

    #relays(group: string, endpoint: string): readonly string[] {
        const record = this.#groups.get(group)?.record(endpoint);
        return record === undefined ? [] : this.#options.relays(record, this.#routing);
    }

    #transactionKey(): string {
        this.#transactions += 1;
        return `${this.#options.hostId}/${this.#transactions}`;
    }

    #group(name: string): Group {
        let group = this.#groups.get(name);
        if (group === undefined) {
            const { dataCentre, connector, clock, random, listener } = this.#options;
            group = new Group({
                name,
                dataCentre,
                connector,
                clock,
                elapsed: this.#elapsed,
                share: record => this.#options.share(record, this.#routing),
                relay: this.#relay,
                random,
                listener,
            });
            this.#groups.set(name, group);
        }
        return group;
    }
}
