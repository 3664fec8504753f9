import { DEFAULT_TOLERATED_LOSSES, hostOfMember, LeaveState } from "@medlarledge/control";
import type { LimitAccuracy } from "@medlarledge/customers";
import { EndpointDirectory } from "@medlarledge/directory";
import type { GroupSettings } from "@medlarledge/gateway";
import {
    ChangeOutcome,
    type ChangeResult,
    type ConfigurationChange,
    type EndpointRecord,
    EndpointState,
    type Host,
    type HostPlacement,
    isConfigurationChange,
    type LeaderRequest,
    type Message,
    type PromotionOrder,
} from "@medlarledge/protocol";
import { type Clock, LeaderClient, type MeshEvent, PeerMesh } from "@medlarledge/runtime";
import type { EndpointConnector } from "@medlarledge/statements";
import type { Log, LogEvent, LogFields, Meter } from "@medlarledge/telemetry";
import { announcedFields } from "./announced-fields.js";
import { CurrentRouting } from "./current-routing.js";
import { LoopDelay } from "./gauges.js";
import { type ConfigurationReadResult, GroupMember } from "./group-member.js";
import { FLEET_LINK_TIMING, HostLinks } from "./host-links.js";
import { HostListSchedule } from "./host-list-schedule.js";
import { isLeasedGroup } from "./leased-groups.js";
import { LimitAuthority } from "./limit-authority.js";
import type { ConfigurationReader, ControlService, PromotionAuthority } from "./ports.js";
import { PromotionAnnouncer } from "./promotion-announcer.js";
import { PromotionManager } from "./promotion-manager.js";
import { type SavedState, SavedStateFile } from "./saved-state-file.js";
import { usableRecords } from "./usable-records.js";
import { handOverVote } from "./vote-handover.js";

/** Interval of the leader's periodic work and of the retries of requests to the leader. */
const TICK_MS = 50;

/** Interval at which a host that is current confirms the number of its configuration to the linked entry hosts. */
const CONFIRMATION_INTERVAL_MS = 500;

/** Interval at which a host that knows no leader requests membership. */
const JOIN_INTERVAL_MS = 300;

/** Limit for the leader's answer to a request to leave the group. */
const LEAVE_ANSWER_TIMEOUT_MS = 250;

/** Limit for a request that is forwarded to the leader. The operator tries another host after a second. */
const FORWARD_TIMEOUT_MS = 900;

/**
 * An entry host stays listed this long after its link was lost, so that a short network partition changes no shares.
 */
const ENTRY_RETENTION_MS = 10_000;

export interface ControlHostOptions {
    readonly self: Host;
    /** Where to listen for other hosts when it is not the address of `self`. */
    readonly listenHost?: string;
    /** Display name; also names this host in the calls to the promotion authority. */
    readonly name: string;
    readonly dataFolder: string;
    /** Time between the request to stop and the forced end of the process, in ms. */
    readonly graceMs: number;
    /** Ids of control hosts that may exist. */
    readonly seeds: readonly string[];
    /** Ids of the first members of the control group at the first start of the system; undefined on any later start. */
    readonly initialMembers: readonly string[] | undefined;
    /** Number of control hosts that may lose their disks at the same time; undefined for the default. */
    readonly toleratedLosses: number | undefined;
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly connector: EndpointConnector;
    readonly configurations: ConfigurationReader;
    readonly authority: PromotionAuthority;
    /**
     * Whether a former primary stops committing at the moment of a promotion, and late orders are refused. If not, hosts
     * need leases to use a primary.
     */
    readonly primariesStepDown: boolean;
    /** See `EntryHostOptions.limitAccuracy`. */
    readonly limitAccuracy: LimitAccuracy | undefined;
}

interface KnownEntryHost {
    readonly host: Host;
    disconnectedAt: number | undefined;
}

const NO_GROUPS: ReadonlyMap<string, GroupSettings> = new Map();

type MessageOf<K extends Message["kind"]> = Extract<Message, { kind: K; }>;
type Handlers = { readonly [K in Message["kind"]]?: (message: MessageOf<K>, from: Host) => void; };

/**
 * A control host: takes part in the consensus group, distributes announcements of endpoints, and promotes primaries.
 */
export class ControlHost implements ControlService {
    readonly #options: ControlHostOptions;
    readonly #mesh: PeerMesh;
    readonly #links: HostLinks;
    readonly #member: GroupMember;
    readonly #directory = new EndpointDirectory();
    readonly #promotionManager: PromotionManager;
    readonly #announcer: PromotionAnnouncer;
    readonly #limits: LimitAuthority | undefined;
    readonly #hostListSchedule = new HostListSchedule();
    readonly #loopDelay: LoopDelay;
    readonly #client: LeaderClient;
    readonly #savedStateFile: SavedStateFile;
    readonly #routing: CurrentRouting;
    /** The newest configuration known to be committed, from the group's log or from before a restart. */
    #configuration: ConfigurationChange | undefined;
    readonly #entries = new Map<string, KnownEntryHost>();
    /** When the link to each control host that has none at present was lost. */
    readonly #controlLostAt = new Map<string, number>();
    /** Endpoints that leave or have left, by id, as long as the file may not tell it. */
    readonly #unsavedDepartures = new Map<string, EndpointState>();
    #seeds: readonly string[];
    #timer: NodeJS.Timeout | undefined;
    #joinRequestedAt = Number.NEGATIVE_INFINITY;
    #isLeaving = false;
    #confirmationSentAt = Number.NEGATIVE_INFINITY;

    readonly #handlers: Handlers = {
        agreement: message => this.#member.receive(message),
        endpointRecords: (message, from) => this.#recordsReceived(message.records, from),
        primaryOrders: message => this.#ordersReceived(message.orders),
        hostList: message => this.#hostsReceived(message),
        configurationWanted: (_, from) => this.#sendConfiguration(from.id),
        primaryReport: (message, from) => this.#primaryReportReceived(message, from),
        leaderRequest: (message, from) => void this.#leaderRequestReceived(message, from),
        leaderReply: message => this.#client.handleReply(message),
        forwardedRenewal: (message, from) => this.#forwardedRenewal(message, from),
        freshnessRequest: (message, from) => void this.#freshnessRequested(message, from),
        renewLease: (message, from) => this.#announcer.renewed(from, message),
        tokenRequest: (message, from) => this.#limits?.requested(from, message),
        revoked: ({ database, term }, from) => this.#announcer.confirmed(from.id, database, term),
    };

    constructor(options: ControlHostOptions) {
        this.#options = options;
        this.#seeds = options.seeds;
        this.#loopDelay = new LoopDelay(options.meter, TICK_MS);
        const { self, clock, log, connector, authority, name, dataFolder, initialMembers, configurations } = options;
        this.#mesh = new PeerMesh({
            self,
            identity: undefined,
            clock,
            log,
            listenHost: options.listenHost,
            timing: FLEET_LINK_TIMING,
        });
        this.#links = new HostLinks(this.#mesh, self.id);
        this.#client = new LeaderClient(self.incarnation, request => this.#sendToLeader(request));
        this.#savedStateFile = new SavedStateFile(
            dataFolder,
            reason => log.event("lastKnownFailed", { reason }),
        );
        this.#member = new GroupMember({
            self,
            dataFolder,
            initialMembers,
            toleratedLosses: options.toleratedLosses ?? DEFAULT_TOLERATED_LOSSES,
            clock,
            send: (to, envelope) => this.#links.send(to, envelope),
            unlinkedMs: host => clock.now() - (this.#controlLostAt.get(host) ?? clock.now()),
            validate: files => configurations.validate(files),
            events: {
                roleChanged: () => this.#roleChanged(),
                configured: change => this.#configured(change),
                promotionOrdered: order => {
                    this.#announcer.committed(order);
                    this.#ordersReceived([order]);
                },
                event: (event, fields) => log.event(event, fields),
            },
        });
        this.#routing = new CurrentRouting(configurations, () => this.#configuration);
        this.#announcer = new PromotionAnnouncer({
            member: this.#member,
            clock,
            entries: () => this.#connectedEntries(),
            send: (to, message) => this.#links.send(to, message),
            newestOrder: group => this.#directory.newestOrder(group),
            ended: ({ order, ...fields }) => this.#promotionStep("promotionAnnounced", { ...order, ...fields }),
        });
        this.#limits = options.limitAccuracy === undefined ? undefined : new LimitAuthority({
            accuracy: options.limitAccuracy,
            member: this.#member,
            clock,
            log,
            meter: options.meter,
            routing: () => this.#routing.get(),
            hasContact: (host, withinMs, now) => this.#links.hasRecentContact(host, withinMs, now),
            hostCount: () => this.#entries.size,
            send: (to, grant) => this.#links.send(to, grant),
        });
        this.#promotionManager = new PromotionManager({
            directory: this.#directory,
            groups: () => this.#routing.get()?.groups ?? NO_GROUPS,
            connector,
            authority,
            holder: name,
            clock,
            entries: () => this.#connectedEntries().map(host => host.id),
            check: (group, endpoint) =>
                this.#links.sendAll(this.#connectedEntries(), { kind: "primaryCheck", group, endpoint }),
            announce: order => this.#announceOrder(order),
            leads: () => this.#member.hasQuorum,
            newerOrdersVoidEarlier: options.primariesStepDown,
            orderedPrimary: group => this.#isLeased(group) ? this.#directory.newestOrder(group)?.endpoint : undefined,
            event: (event, fields) => this.#promotionStep(event, fields),
        });
    }

    /** Starts the host. Returns a reason when that fails. */
    async start(): Promise<string | undefined> {
        void this.#mesh.events.observe(event => this.#meshEvent(event));
        await this.#loadState();
        const reason = await this.#mesh.listen() ?? await this.#member.start();
        if (reason !== undefined) {
            return reason;
        }
        this.#updateLinks();
        this.#timer = setInterval(() => this.#tick(), TICK_MS);
        return undefined;
    }

    /** Loads the state from before a restart; newer state replaces it later. */
    async #loadState(): Promise<void> {
        const { configuration, records, orders, savedAt } = await this.#savedStateFile.load();
        this.#configuration = configuration;
        const { clock, log } = this.#options;
        const storedMs = Math.max(0, clock.wallClock() - (savedAt ?? clock.wallClock()));
        for (const record of usableRecords(records, "file", clock.wallClock(), log)) {
            this.#directory.merge({ ...record, leavingMs: (record.leavingMs ?? 0) + storedMs }, clock.now());
        }
        for (const order of orders) {
            this.#directory.order(order);
        }
    }

    #savedState(): SavedState {
        const { clock } = this.#options;
        return {
            configuration: this.#configuration,
            records: this.#directory.records(clock.now()),
            orders: this.#directory.orders(),
            savedAt: clock.wallClock(),
        };
    }

    /** @param isUrgent whether a caller waits for the write; resolves to false when it fails */
    #saveState(isUrgent = false): Promise<boolean> {
        return this.#savedStateFile.save(() => this.#savedState(), isUrgent);
    }

    /** Stores that an endpoint leaves or has left. Resolves to false when that fails. */
    async #saveDeparture({ id, state }: EndpointRecord, isUrgent: boolean): Promise<boolean> {
        const isStored = await this.#saveState(isUrgent);
        if (isStored && this.#unsavedDepartures.get(id) === state) {
            this.#unsavedDepartures.delete(id);
        }
        return isStored;
    }

    /**
     * Hands this host's vote in the control group to another host, if one can take it. Meanwhile this host serves as
     * before. To be called before `stop` when the host is stopped as planned; takes half of the grace time at most.
     */
    async leave(): Promise<void> {
        const { clock, graceMs, log } = this.#options;
        this.#isLeaving = true;
        const end = await handOverVote(() => this.#requestLeave(), clock, graceMs / 2);
        log.event("voteHandover", { ...end });
    }

    async stop(): Promise<void> {
        clearInterval(this.#timer);
        await this.#member.stop();
        await this.#mesh.close();
    }

    async #requestLeave(): Promise<LeaveState | undefined> {
        const { memberId, hasLeft, isLeader } = this.#member;
        if (memberId === undefined || hasLeft) {
            return memberId === undefined ? LeaveState.Unneeded : LeaveState.Left;
        }
        if (isLeader) {
            return this.#member.leaveRequested(memberId);
        }
        const now = this.#options.clock.now();
        const answer = await this.#client.request("leave", memberId, now + LEAVE_ANSWER_TIMEOUT_MS, now);
        return answer.kind === "answered" ? answer.body as LeaveState : undefined;
    }

    /** Replaces the seed hosts after a change of settings. */
    setSeeds(seeds: readonly string[]): void {
        this.#seeds = seeds;
        this.#updateLinks();
    }

    /** Replaces the number of control hosts that may lose their disks at the same time, after a change of settings. */
    setToleratedLosses(toleratedLosses: number | undefined): void {
        this.#member.setToleratedLosses(toleratedLosses ?? DEFAULT_TOLERATED_LOSSES);
    }

    /**
     * Handles an endpoint's announcement of itself; a changed one is sent on to all linked hosts. A departure is stored
     * before it is acknowledged, since the endpoint relies on getting no new work later, also if all hosts lose power.
     */
    async announce(record: EndpointRecord): Promise<boolean> {
        if (this.#directory.merge(record, this.#options.clock.now()) === "changed") {
            this.#options.log.event("endpointAnnounced", announcedFields(record));
            this.#sendRecords([record], this.#links.connected());
            this.#recordChanged(record);
        }
        return !this.#unsavedDepartures.has(record.id) || this.#saveDeparture(record, true);
    }

    /** Handles the message of an endpoint that it leaves now. */
    async left(id: string): Promise<boolean> {
        const record = this.#directory.record(id);
        return record === undefined
            || this.announce({ ...record, sequence: record.sequence + 1, state: EndpointState.Left });
    }

    #recordChanged(record: EndpointRecord): void {
        const { id, state } = record;
        if (state === EndpointState.Active) {
            this.#unsavedDepartures.delete(id);
            void this.#saveState();
        }
        else {
            this.#unsavedDepartures.set(id, state);
            void this.#saveDeparture(record, false);
        }
    }

    async propose(change: ConfigurationChange): Promise<ChangeResult> {
        const own = await this.#member.propose(change);
        if (own.outcome !== ChangeOutcome.Unavailable || this.#member.isLeader) {
            return own;
        }
        const now = this.#options.clock.now();
        const answer = await this.#client.request("propose", change, now + FORWARD_TIMEOUT_MS, now);
        return answer.kind === "answered" ? answer.body as ChangeResult : own;
    }

    async read(): Promise<ConfigurationReadResult> {
        if (this.#member.isLeader) {
            return this.#member.read();
        }
        const now = this.#options.clock.now();
        const answer = await this.#client.request("read", undefined, now + FORWARD_TIMEOUT_MS, now);
        return answer.kind === "answered" ? answer.body as ConfigurationReadResult : { kind: "unavailable" };
    }

    /** Sets the gauges to their current values, before a collector reads them. */
    measure(): void {
        const { meter } = this.#options;
        meter.gauge("agreement.leader", this.#member.isLeader ? 1 : 0);
        meter.gauge("configuration.number", this.#configuration?.number ?? 0);
    }

    #forwardedRenewal({ host, sequence, confirmed }: MessageOf<"forwardedRenewal">, from: Host): void {
        this.#announcer.renewedOver(host, sequence, confirmed, durationMs => {
            const orders = this.#directory.orders();
            const { id: to, incarnation } = host;
            this.#links.send(from.id, { kind: "forwardedGrant", to, incarnation, sequence, durationMs, orders });
        });
    }

    /** Answers an entry host's question for the newest configuration; gives no answer that is not confirmed. */
    async #freshnessRequested(
        { host, incarnation, sequence }: MessageOf<"freshnessRequest">,
        from: Host,
    ): Promise<void> {
        const number = await this.#readNewestNumber();
        if (number !== undefined) {
            this.#links.send(from.id, { kind: "freshnessAnswer", host, incarnation, sequence, number });
        }
    }

    async #readNewestNumber(): Promise<number | undefined> {
        if (this.#member.isLeader) {
            return this.#member.readNewestNumber();
        }
        const now = this.#options.clock.now();
        const answer = await this.#client.request("newestNumber", undefined, now + FORWARD_TIMEOUT_MS, now);
        return answer.kind === "answered" ? answer.body as number : undefined;
    }

    #announceOrder(order: PromotionOrder): Promise<boolean> {
        if (this.#isLeased(order.group)) {
            return this.#announcer.announce(order);
        }
        this.#ordersReceived([order]);
        return Promise.resolve(this.#member.hasQuorum);
    }

    #isLeased(group: string): boolean {
        return isLeasedGroup(this.#routing.get()?.groups.get(group), this.#options.primariesStepDown);
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
            this.#promotionManager.tick(this.#member.term);
        }
        if (
            !this.#isLeaving && this.#member.memberId !== undefined && this.#member.leader === undefined
            && now - this.#joinRequestedAt >= JOIN_INTERVAL_MS
        ) {
            this.#joinRequestedAt = now;
            this.#requestMembership();
        }
        this.#announcer.tick();
        this.#limits?.tick();
        this.#forgetEntries(now);
        this.#sendHostList(now);
        this.#confirmConfiguration(now);
    }

    #requestMembership(): void {
        const body = this.#member.memberId;
        // Nobody answers this request: the group's log shows the result.
        const request = { kind: "leaderRequest", id: "", name: "join", body } as const;
        this.#links.sendAll(this.#links.connected().filter(host => host.control), request);
    }

    #sendToLeader(request: LeaderRequest): boolean {
        const leader = this.#member.leader;
        return leader !== undefined && this.#links.send(leader, request);
    }

    async #leaderRequestReceived({ id, name, body }: LeaderRequest, from: Host): Promise<void> {
        if (name === "join") {
            if (isMemberOf(from, body)) {
                this.#member.joinRequested(body);
            }
            return;
        }
        const answers: Readonly<Record<string, () => Promise<unknown>>> = {
            propose: () => isConfigurationChange(body) ? this.#member.propose(body) : Promise.resolve(undefined),
            read: () => this.#member.read(),
            newestNumber: () => this.#member.readNewestNumber(),
            leave: () => Promise.resolve(isMemberOf(from, body) ? this.#member.leaveRequested(body) : undefined),
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
            if (event.host.control) {
                this.#controlLostAt.set(event.host.id, this.#options.clock.now());
            }
            const entry = this.#entries.get(event.host.id);
            this.#announcer.disconnected(event.host);
            if (entry !== undefined) {
                entry.disconnectedAt = this.#options.clock.now();
            }
        }
    }

    #connected(host: Host): void {
        this.#controlLostAt.delete(host.id);
        if (!host.control) {
            this.#entries.set(host.id, { host, disconnectedAt: undefined });
            this.#announcer.connected(host);
        }
        this.#sendRecords(this.#directory.records(this.#options.clock.now()), [host]);
        this.#links.send(host.id, { kind: "primaryOrders", orders: this.#directory.orders() });
        this.#links.send(host.id, this.#hostList());
        if (!host.control) {
            this.#links.send(host.id, this.#configurationOffer());
        }
    }

    #sendRecords(records: readonly EndpointRecord[], to: readonly Host[]): void {
        if (records.length > 0) {
            this.#links.sendAll(to, { kind: "endpointRecords", records });
        }
    }

    /** Forwards changed records to entry hosts only: control hosts have links to each other and got them directly. */
    #recordsReceived(records: readonly EndpointRecord[], from: Host): void {
        const { clock, log } = this.#options;
        const news = usableRecords(records, from.id, clock.wallClock(), log)
            .filter(record => this.#directory.merge(record, clock.now()) === "changed");
        news.forEach(record => this.#recordChanged(record));
        this.#sendRecords(news, this.#connectedEntries().filter(host => host.id !== from.id));
    }

    #ordersReceived(orders: readonly PromotionOrder[]): void {
        const news = orders.filter(order => this.#directory.order(order));
        if (news.length > 0) {
            this.#links.sendAll(this.#links.connected(), { kind: "primaryOrders", orders: news });
        }
    }

    #hostsReceived({ control, entries }: MessageOf<"hostList">): void {
        if (entries !== undefined) {
            this.#limits?.hostsListed(entries.length);
        }
        this.#seeds = [...new Set([...this.#seeds, ...control])];
        this.#updateLinks();
    }

    #primaryReportReceived(report: MessageOf<"primaryReport">, from: Host): void {
        if (this.#member.isLeader) {
            this.#promotionManager.reportReceived(from.id, report);
        }
    }

    #roleChanged(): void {
        this.#announcer.leadershipChanged();
        this.#limits?.leadershipChanged();
        this.#options.log.event("leaderChanged", { leader: this.#member.leader, term: this.#member.term });
        this.#updateLinks();
        this.#sendHostList(this.#options.clock.now());
    }

    #configured(change: ConfigurationChange): void {
        const { number } = change;
        if (number <= (this.#configuration?.number ?? 0)) {
            return;
        }
        this.#configuration = change;
        void this.#saveState();
        this.#options.log.event("configurationInForce", { number });
        this.#links.sendAll(this.#connectedEntries(), this.#configurationOffer());
    }

    #configurationOffer(): MessageOf<"configurationOffer"> {
        const number = this.#configuration?.number ?? 0;
        return { kind: "configurationOffer", number, isCurrent: this.#member.isCurrent };
    }

    /**
     * Tells the linked entry hosts at intervals that their configuration is the newest, or that it is not. An entry host
     * that hears this from no one looks for other control hosts.
     */
    #confirmConfiguration(now: number): void {
        if (now - this.#confirmationSentAt >= CONFIRMATION_INTERVAL_MS && this.#member.isCurrent) {
            this.#confirmationSentAt = now;
            this.#links.sendAll(this.#connectedEntries(), this.#configurationOffer());
        }
    }

    #sendConfiguration(to: string): void {
        const change = this.#configuration;
        if (change !== undefined) {
            this.#links.send(to, { kind: "configurationUpdate", change });
        }
    }

    #updateLinks(): void {
        const members = this.#member.hosts;
        this.#links.keep(
            members.length > 0 && this.#member.leader !== undefined ? members : [...members, ...this.#seeds],
        );
    }

    #connectedEntries(): readonly Host[] {
        return this.#links.connected().filter(host => !host.control);
    }

    #forgetEntries(now: number): void {
        for (const [id, { disconnectedAt }] of this.#entries) {
            if (disconnectedAt !== undefined && now - disconnectedAt > ENTRY_RETENTION_MS) {
                this.#entries.delete(id);
            }
        }
    }

    #hostList(): MessageOf<"hostList"> {
        const { leader, term, hosts, hostsIndex: index, isLeader } = this.#member;
        const entries = isLeader ? this.#placements() : undefined;
        return { kind: "hostList", term, index, leader, control: hosts, entries };
    }

    /** The known entry hosts, sorted so that the same hosts make the same list. */
    #placements(): readonly HostPlacement[] {
        const placements = [...this.#entries.values()].map(({ host: { id, dataCentre } }) => ({ id, dataCentre }));
        return placements.sort((left, right) => left.id < right.id ? -1 : 1);
    }

    /** Sends the list of hosts to all linked hosts if it has changed. */
    #sendHostList(now: number): void {
        const list = this.#hostList();
        if (this.#hostListSchedule.isDue(list, now)) {
            this.#links.sendAll(this.#links.connected(), list);
        }
    }
}

/** Returns true for the id of a member on this host: a member speaks only for the host that it runs on. */
function isMemberOf(host: Host, memberId: unknown): memberId is string {
    return typeof memberId === "string" && hostOfMember(memberId) === host.id;
}
