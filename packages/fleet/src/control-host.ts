import { EndpointDirectory } from "@medlarledge/directory";
import {
    ChangeOutcome,
    type ChangeResult,
    type ConfigurationChange,
    type EndpointRecord,
    EndpointState,
    type Host,
    type LeaderRequest,
    type Message,
    type PromotionOrder,
} from "@medlarledge/protocol";
import { type Clock, LeaderClient, type MeshEvent, PeerMesh } from "@medlarledge/runtime";
import type { EndpointConnector } from "@medlarledge/statements";
import type { Log, LogEvent, LogFields, Meter } from "@medlarledge/telemetry";
import { announcedFields } from "./announced-fields.js";
import { LoopDelay } from "./gauges.js";
import { type ConfigurationRead, GroupMember } from "./group-member.js";
import { FLEET_LINK_TIMING, HostLinks } from "./host-links.js";
import { LastKnown } from "./last-known.js";
import type { ConfigurationReader, ControlService, PromotionAuthority } from "./ports.js";
import { PrimaryKeeper } from "./primary-keeper.js";

/** Interval of the leader's decisions and of repeated requests. */
const TICK_MS = 50;

/** A host without a leader asks for membership this often. */
const JOIN_MS = 300;

/** Longest wait for the leader on behalf of an operator, who tries another host after a second. */
const FORWARD_MS = 900;

/** An entry host that lost its link stays in the list for this long, so that a short cut changes no shares. */
const ENTRY_GONE_MS = 10_000;

export interface ControlHostOptions {
    readonly self: Host;
    /** Where to listen for other hosts when it is not the address of `self`. */
    readonly listenHost?: string;
    /** Name for people and for the platform. */
    readonly name: string;
    readonly dataFolder: string;
    /** Ids of control hosts that may be there. */
    readonly seeds: readonly string[];
    /** Ids of those that form the group at the first start of the system; undefined on any later start. */
    readonly founders: readonly string[] | undefined;
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly connector: EndpointConnector;
    readonly configurations: ConfigurationReader;
    readonly authority: PromotionAuthority;
}

interface KnownEntry {
    readonly host: Host;
    goneAt: number | undefined;
}

type MessageOf<K extends Message["kind"]> = Extract<Message, { kind: K; }>;
type Handlers = { readonly [K in Message["kind"]]?: (message: MessageOf<K>, from: Host) => void; };

/** A process that takes part in control: the group's log, announcements of endpoints, and changes of primaries. */
export class ControlHost implements ControlService {
    readonly #options: ControlHostOptions;
    readonly #mesh: PeerMesh;
    readonly #links: HostLinks;
    readonly #member: GroupMember;
    readonly #directory = new EndpointDirectory();
    readonly #keeper: PrimaryKeeper;
    readonly #loopDelay: LoopDelay;
    readonly #client: LeaderClient;
    readonly #lastKnown: LastKnown;
    /** The newest configuration known to be committed, from the group's log or from before a restart. */
    #configuration: ConfigurationChange | undefined;
    readonly #entries = new Map<string, KnownEntry>();
    #seeds: readonly string[];
    #timer: NodeJS.Timeout | undefined;
    #joinedAt = Number.NEGATIVE_INFINITY;
    #told = "";

    readonly #handlers: Handlers = {
        agreement: message => this.#member.receive(message),
        endpointRecords: (message, from) => this.#recordsReceived(message.records, from),
        primaryOrders: message => this.#ordersReceived(message.orders),
        hostList: message => this.#hostsReceived(message),
        configurationWanted: (_, from) => this.#sendConfiguration(from.id),
        primaryReport: (message, from) => this.#reported(message, from),
        leaderRequest: (message, from) => void this.#requested(message, from),
        leaderReply: message => this.#client.handleReply(message),
    };

    constructor(options: ControlHostOptions) {
        this.#options = options;
        this.#seeds = options.seeds;
        this.#loopDelay = new LoopDelay(options.meter, TICK_MS);
        const { self, clock, log, connector, authority, name, dataFolder, founders, configurations } = options;
        this.#mesh = new PeerMesh({
            self,
            identity: undefined,
            clock,
            log,
            listenHost: options.listenHost,
            timing: FLEET_LINK_TIMING,
        });
        this.#links = new HostLinks(this.#mesh, self.id);
        this.#client = new LeaderClient(request => this.#toLeader(request));
        this.#lastKnown = new LastKnown(
            dataFolder,
            reason => log.event("lastKnownFailed", { reason }),
        );
        this.#member = new GroupMember({
            self,
            dataFolder,
            founders,
            clock,
            send: (to, envelope) => this.#links.send(to, envelope),
            validate: files => configurations.validate(files),
            events: {
                roleChanged: () => this.#roleChanged(),
                configured: change => this.#configured(change),
                event: (event, fields) => log.event(event, fields),
            },
        });
        this.#keeper = new PrimaryKeeper({
            directory: this.#directory,
            connector,
            authority,
            holder: name,
            clock,
            entries: () => this.#connectedEntries().map(host => host.id),
            check: (group, endpoint) =>
                this.#links.sendAll(this.#connectedEntries(), { kind: "primaryCheck", group, endpoint }),
            ordered: order => this.#ordersReceived([order]),
            event: (event, fields) => this.#promotionStep(event, fields),
        });
    }

    /** Starts. Returns a reason when that is not possible. */
    async start(): Promise<string | undefined> {
        void this.#mesh.events.observe(event => this.#meshEvent(event));
        await this.#recall();
        const reason = await this.#mesh.listen() ?? await this.#member.start();
        if (reason !== undefined) {
            return reason;
        }
        this.#keepLinks();
        this.#timer = setInterval(() => this.#tick(), TICK_MS);
        return undefined;
    }

    /** Takes over what this host knew before a restart; whatever is newer replaces it. */
    async #recall(): Promise<void> {
        const { configuration, records, orders } = await this.#lastKnown.load();
        this.#configuration = configuration;
        for (const record of records) {
            this.#directory.merge(record);
        }
        for (const order of orders) {
            this.#directory.order(order);
        }
    }

    #remember(): void {
        this.#lastKnown.save(() => ({
            configuration: this.#configuration,
            records: this.#directory.records(),
            orders: this.#directory.orders(),
        }));
    }

    async stop(): Promise<void> {
        clearInterval(this.#timer);
        await this.#member.stop();
        await this.#mesh.close();
    }

    /** Takes over changed settings. */
    reseed(seeds: readonly string[]): void {
        this.#seeds = seeds;
        this.#keepLinks();
    }

    announce(record: EndpointRecord): void {
        if (this.#directory.merge(record) === "changed") {
            this.#options.log.event("endpointAnnounced", announcedFields(record));
            this.#spread([record], this.#links.connected());
            this.#remember();
        }
    }

    left(id: string): void {
        const record = this.#directory.record(id);
        if (record !== undefined) {
            this.announce({ ...record, sequence: record.sequence + 1, state: EndpointState.Left });
        }
    }

    async propose(change: ConfigurationChange): Promise<ChangeResult> {
        const own = await this.#member.propose(change);
        if (own.outcome !== ChangeOutcome.Unavailable || this.#member.isLeader) {
            return own;
        }
        const now = this.#options.clock.now();
        const answer = await this.#client.request("propose", change, now + FORWARD_MS, now);
        return answer.kind === "answered" ? answer.body as ChangeResult : own;
    }

    async read(): Promise<ConfigurationRead> {
        if (this.#member.isLeader) {
            return this.#member.read();
        }
        const now = this.#options.clock.now();
        const answer = await this.#client.request("read", undefined, now + FORWARD_MS, now);
        return answer.kind === "answered" ? answer.body as ConfigurationRead : { kind: "unavailable" };
    }

    /** Sets the gauges, for a collector that asks now. */
    measure(): void {
        const { meter } = this.#options;
        meter.gauge("agreement.leader", this.#member.isLeader ? 1 : 0);
        meter.gauge("configuration.number", this.#configuration?.number ?? 0);
    }

    #promotionStep(event: LogEvent, fields: LogFields): void {
        this.#options.log.event(event, fields);
        this.#options.meter.count("promotion.steps", 1, { group: String(fields["group"]), step: event });
    }

    #tick(): void {
        const now = this.#options.clock.now();
        this.#loopDelay.tick(now);
        this.#client.tick(now);
        if (this.#member.hasQuorum) {
            this.#keeper.tick(this.#member.term);
        }
        if (this.#member.leader === undefined && now - this.#joinedAt >= JOIN_MS) {
            this.#joinedAt = now;
            this.#askToJoin();
        }
        this.#forgetEntries(now);
        this.#tellHosts();
    }

    #askToJoin(): void {
        const body = this.#member.memberId;
        const request = { kind: "leaderRequest", id: 0, name: "join", body } as const;
        this.#links.sendAll(this.#links.connected().filter(host => host.control), request);
    }

    #toLeader(request: LeaderRequest): boolean {
        const leader = this.#member.leader;
        return leader !== undefined && this.#links.send(leader, request);
    }

    async #requested({ id, name, body }: LeaderRequest, from: Host): Promise<void> {
        if (name === "join") {
            this.#member.joinRequested(String(body));
            return;
        }
        const answers: Readonly<Record<string, () => Promise<unknown>>> = {
            propose: () => this.#member.propose(body as ConfigurationChange),
            read: () => this.#member.read(),
        };
        const answer = await answers[name]?.();
        if (this.#member.isLeader && answer !== undefined) {
            this.#links.send(from.id, { kind: "leaderReply", id, ok: true, body: answer });
        }
    }

    #meshEvent(event: MeshEvent): void {
        if (event.kind === "message") {
            const handler = this.#handlers[event.message.kind] as
                | ((message: Message, from: Host) => void)
                | undefined;
            handler?.(event.message, event.from);
        }
        else if (event.kind === "connected") {
            this.#connected(event.host);
        }
        else {
            const entry = this.#entries.get(event.host.id);
            if (entry !== undefined) {
                entry.goneAt = this.#options.clock.now();
            }
        }
    }

    #connected(host: Host): void {
        if (!host.control) {
            this.#entries.set(host.id, { host, goneAt: undefined });
        }
        this.#spread(this.#directory.records(), [host]);
        this.#links.send(host.id, { kind: "primaryOrders", orders: this.#directory.orders() });
        this.#links.send(host.id, this.#hostList());
        if (this.#configuration !== undefined && !host.control) {
            this.#links.send(host.id, { kind: "configurationOffer", number: this.#configuration.number });
        }
    }

    #spread(records: readonly EndpointRecord[], to: readonly Host[]): void {
        if (records.length > 0) {
            this.#links.sendAll(to, { kind: "endpointRecords", records });
        }
    }

    /** Control hosts are linked to each other, so only entry hosts still have to hear of what another one sent. */
    #recordsReceived(records: readonly EndpointRecord[], from: Host): void {
        const news = records.filter(record => this.#directory.merge(record) === "changed");
        if (news.length > 0) {
            this.#remember();
        }
        this.#spread(news, this.#connectedEntries().filter(host => host.id !== from.id));
    }

    #ordersReceived(orders: readonly PromotionOrder[]): void {
        const news = orders.filter(order => this.#directory.order(order));
        if (news.length > 0) {
            this.#links.sendAll(this.#links.connected(), { kind: "primaryOrders", orders: news });
        }
    }

    #hostsReceived({ control }: MessageOf<"hostList">): void {
        this.#seeds = [...new Set([...this.#seeds, ...control])];
        this.#keepLinks();
    }

    #reported(report: MessageOf<"primaryReport">, from: Host): void {
        if (this.#member.isLeader) {
            this.#keeper.reported(from.id, report);
        }
    }

    #roleChanged(): void {
        this.#options.log.event("leaderChanged", { leader: this.#member.leader, term: this.#member.term });
        this.#keepLinks();
        this.#tellHosts();
    }

    #configured(change: ConfigurationChange): void {
        const { number } = change;
        if (number <= (this.#configuration?.number ?? 0)) {
            return;
        }
        this.#configuration = change;
        this.#remember();
        this.#options.log.event("configurationInForce", { number });
        this.#links.sendAll(this.#connectedEntries(), { kind: "configurationOffer", number });
    }

    #sendConfiguration(to: string): void {
        const change = this.#configuration;
        if (change !== undefined) {
            this.#links.send(to, { kind: "configurationUpdate", change });
        }
    }

    #keepLinks(): void {
        const members = this.#member.hosts;
        this.#links.keep(
            members.length > 0 && this.#member.leader !== undefined ? members : [...members, ...this.#seeds],
        );
    }

    #connectedEntries(): readonly Host[] {
        return this.#links.connected().filter(host => !host.control);
    }

    #forgetEntries(now: number): void {
        for (const [id, { goneAt }] of this.#entries) {
            if (goneAt !== undefined && now - goneAt > ENTRY_GONE_MS) {
                this.#entries.delete(id);
            }
        }
    }

    #hostList(): MessageOf<"hostList"> {
        const { leader, term, hosts, isLeader } = this.#member;
        const entries = isLeader ? [...this.#entries.values()].map(entry => entry.host) : undefined;
        return { kind: "hostList", term, leader, control: hosts, entries };
    }

    /** Tells all linked hosts when the list of hosts has changed. */
    #tellHosts(): void {
        const list = this.#hostList();
        const text = JSON.stringify(list);
        if (text !== this.#told) {
            this.#told = text;
            this.#links.sendAll(this.#links.connected(), list);
        }
    }
}
