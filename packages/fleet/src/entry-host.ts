import type { LimitAccuracy } from "@medlarledge/customers";
import { EndpointDirectory } from "@medlarledge/directory";
import { ElapsedClock, Gateway, type GroupSettings } from "@medlarledge/gateway";
import {
    type EndpointRecord,
    type Host,
    isConfigurationChange,
    type Message,
    type PromotionOrder,
} from "@medlarledge/protocol";
import { type Clock, type MeshEvent, PeerMesh } from "@medlarledge/runtime";
import type { Acceptance, Caller, EndpointConnector } from "@medlarledge/statements";
import type { Log, Meter } from "@medlarledge/telemetry";
import { announcedFields } from "./announced-fields.js";
import { ConfigurationRequests } from "./configuration-requests.js";
import { ConnectionPlans } from "./connection-plans.js";
import { ContactMonitor } from "./contact-monitor.js";
import { ControlContacts } from "./control-contacts.js";
import { GatewayReporter } from "./gateway-reporter.js";
import { LoopDelay, setGroupGauges } from "./gauges.js";
import { FLEET_LINK_TIMING, HostLinks } from "./host-links.js";
import { KeyLeaseHolder } from "./key-lease-holder.js";
import { LeaseHolder } from "./lease-holder.js";
import { isLeasedGroup } from "./leased-groups.js";
import { HostLimits } from "./operation-limits.js";
import type { ConfigurationReader } from "./ports.js";
import { PrimaryReporter } from "./primary-reporter.js";
import { usableRecords } from "./usable-records.js";

/** Interval of the periodic work, such as reports to control and probes. */
const TICK_MS = 50;

/** Time in which the platform redirects new callers after a stop: two failed probes, a second apart, plus a margin. */
const LEAVE_ROTATION_MS = 2_300;

/** Maximum wait of a new caller for the first configuration. Callers give up after two seconds. */
const ACCEPT_TIMEOUT_MS = 1_500;

/** Number of entry hosts over which a host without a link to the leader asks for a lease. */
const FORWARDING_HOSTS = 3;

/** Limit for opening a link to such a host; it takes a few ms. */
const FORWARDING_LINK_TIMEOUT_MS = 150;

/** Causes that are logged when callers' connections are closed. */
const STOPPING = "this host stops";
const LAPSED = "this host has no lease to use primaries";
const KEYS_LAPSED = "this host cannot confirm that keys are valid";
const ISOLATED = "this host is isolated from the other data centres";

export interface EntryHostOptions {
    readonly self: Host;
    /** Where to listen for other hosts when it is not the address of `self`. */
    readonly listenHost?: string;
    readonly seeds: readonly string[];
    readonly clock: Clock;
    readonly log: Log;
    readonly connector: EndpointConnector;
    readonly configurations: ConfigurationReader;
    readonly random: () => number;
    readonly meter: Meter;
    /** Time from a stop request to the end of the process, in ms. */
    readonly graceMs: number;
    /** See `ControlHostOptions.primariesStepDown`. */
    readonly primariesStepDown: boolean;
    /** Time after which a revoked key must not work on any host, in ms; undefined when there is no such limit. */
    readonly revocationMs: number | undefined;
    /** See `GatewayOptions.usesLoadReports`. */
    readonly usesLoadReports: boolean;
    /** See `GatewayOptions.drainMs`. */
    readonly drainMs: number | undefined;
    /** How exactly the limits of customers are kept; undefined where they are not enforced. */
    readonly limitAccuracy: LimitAccuracy | undefined;
}

type MessageOf<K extends Message["kind"]> = Extract<Message, { kind: K; }>;
type Handlers = { readonly [K in Message["kind"]]?: (message: MessageOf<K>, from: Host) => void; };

/** An entry host: a process that serves callers. */
export class EntryHost {
    readonly #options: EntryHostOptions;
    readonly #mesh: PeerMesh;
    readonly #links: HostLinks;
    readonly #gateway: Gateway;
    readonly #directory = new EndpointDirectory();
    readonly #reporter = new PrimaryReporter();
    readonly #contacts: ContactMonitor;
    readonly #loopDelay: LoopDelay;
    readonly #plans: ConnectionPlans;
    /** The lease that this host needs to use the primaries of some groups or of all. */
    readonly #lease: LeaseHolder;
    /** The permission to accept keys; undefined where a host may accept them without contact to control. */
    readonly #keyLease: KeyLeaseHolder | undefined;
    readonly #limits: HostLimits | undefined;
    readonly #configurationRequests = new ConfigurationRequests();
    readonly #control: ControlContacts;
    /** Counts the time in which the machine was suspended, too. */
    readonly #elapsed: ElapsedClock;
    #seeds: readonly string[];
    /** Whether this host looked for other control hosts at the last check. */
    #wasSearching = false;
    #timer: NodeJS.Timeout | undefined;
    #isStopping = false;
    /** Whether the lease had lapsed at the last check. */
    #wasLapsed = false;
    /** Whether keys were accepted at the last check. */
    #acceptedKeys = true;
    /** True once the platform has had the time to redirect new callers and idle sessions are being closed. */
    #isClosingIdleSessions = false;
    /** Whether `#started` has resolved. Callers that cannot be accepted later are refused at once. */
    #hasStarted = false;
    #setStarted: () => void = () => undefined;
    /** Resolves when a configuration is in force and its keys, if it has any, are accepted for the first time. */
    readonly #started = new Promise<void>(resolve => (this.#setStarted = resolve));

    readonly #handlers: Handlers = {
        endpointRecords: (message, from) => this.#recordsReceived(message.records, from),
        primaryOrders: message => this.#ordersReceived(message.orders),
        forwardedRenewal: message => void this.#sendToLeader(message),
        forwardedGrant: message => this.#forwardedGrant(message),
        freshnessRequest: message => void this.#keyLease?.forward(message),
        freshnessAnswer: message => this.#freshnessAnswered(message),
        leaseGranted: message => this.#lease.granted(message),
        tokenGrant: message => this.#limits?.granted(message),
        hostList: (message, from) => this.#hostsReceived(message, from),
        hostListWanted: (_, from) => this.#forwardHostList(from),
        configurationOffer: (message, from) => this.#offeredBy(from, message),
        configurationUpdate: (message, from) => this.#configure(message, from),
        primaryCheck: message => void this.#reportPrimary(message),
        relayOrder: (message, from) => this.#gateway.relayMessageReceived(from.id, message),
        relayResult: (message, from) => this.#gateway.relayMessageReceived(from.id, message),
        relayCancel: (message, from) => this.#gateway.relayMessageReceived(from.id, message),
        relayEnd: (message, from) => this.#gateway.relayMessageReceived(from.id, message),
    };

    constructor(options: EntryHostOptions) {
        this.#options = options;
        this.#control = new ControlContacts(options.random);
        this.#elapsed = new ElapsedClock(options.clock);
        this.#plans = new ConnectionPlans(options.self, options.clock.now());
        this.#contacts = new ContactMonitor({
            self: options.self,
            gateway: () => this.#gateway,
            links: () => this.#links,
            entries: () => this.#plans.entries,
            log: options.log,
            random: options.random,
        });
        this.#loopDelay = new LoopDelay(options.meter, TICK_MS);
        this.#seeds = options.seeds;
        const { self, clock, log, connector, random, meter } = options;
        this.#lease = new LeaseHolder({
            self,
            clock,
            sendToLeader: message => this.#sendToLeader(message),
            sendToOthers: message => this.#sendToOthers(message),
            isLeased: group => this.#isLeased(this.#gateway.routing.groups.get(group)),
            isNeeded: () => !options.primariesStepDown || this.#groupSettings.some(group => this.#isLeased(group)),
        });
        const { revocationMs, limitAccuracy } = options;
        this.#keyLease = revocationMs === undefined ? undefined : new KeyLeaseHolder({
            self,
            clock,
            revocationMs,
            leader: () => this.#control.leader,
            control: () => this.#connectedControl(),
            send: (host, message) => this.#links.send(host, message),
            sendToOthers: message => this.#sendToOthers(message),
        });
        this.#limits = limitAccuracy === undefined ? undefined : new HostLimits({
            self,
            accuracy: limitAccuracy,
            clock,
            log,
            meter,
            entries: () => this.#plans.entries.map(({ id }) => id),
            sendToLeader: message => this.#sendToLeader(message),
        });
        this.#mesh = new PeerMesh({
            self,
            identity: undefined,
            clock,
            log,
            listenHost: options.listenHost,
            timing: FLEET_LINK_TIMING,
            isMonitored: host => host.control || this.#contacts.isSuspected || this.#gateway.isRelayingWith(host.id),
        });
        this.#links = new HostLinks(this.#mesh, self.id);
        this.#gateway = new Gateway({
            hostId: self.id,
            incarnation: self.incarnation,
            dataCentre: self.dataCentre,
            connector,
            clock,
            share: (record, routing) => this.#plans.share(record, routing, clock.now()),
            relays: (record, routing, customer) =>
                this.#plans.relays(record, routing, this.#contacts.isIsolated, clock.now(), customer),
            preferredRelays: (record, routing, customer) =>
                this.#plans.preferredRelays(record, routing, this.#contacts.isIsolated, clock.now(), customer),
            links: {
                open: (host, timeoutMs) => this.#links.open(host, timeoutMs),
                send: (host, message) => this.#links.send(host, message),
                reply: (host, result) => this.#links.send(host, result),
            },
            limits: this.#limits,
            permits: this.#lease,
            acceptsKeys: () => this.#acceptsKeys,
            random,
            usesLoadReports: options.usesLoadReports,
            drainMs: options.drainMs,
            listener: new GatewayReporter(log, meter, clock.now).listener,
        });
    }

    /**
     * True while the host accepts callers: a configuration is in force, the host is neither stopping nor isolated, it
     * may use primaries, and it will accept keys until the platform has redirected new callers.
     */
    get isReady(): boolean {
        return !this.#isStopping && !this.#contacts.isIsolated && !this.#isLapsed
            && this.#keyLease?.endsWithin(LEAVE_ROTATION_MS) !== true && this.#gateway.routing.number > 0;
    }

    /** Number of connected callers. */
    get callers(): number {
        return this.#gateway.callers;
    }

    /** Starts the host. Returns a reason when that fails. */
    async start(): Promise<string | undefined> {
        void this.#mesh.events.observe(event => this.#meshEvent(event));
        const reason = await this.#mesh.listen();
        if (reason === undefined) {
            this.#updateLinks();
            this.#timer = setInterval(() => this.#tick(), TICK_MS);
        }
        return reason;
    }

    /**
     * Starts a session for a caller. After a start it waits for the first configuration, without which it is not known
     * whether a database exists, and until keys are accepted.
     */
    async accept(caller: Caller): Promise<Acceptance> {
        const acceptance = this.#gateway.accept(caller);
        if (acceptance.kind !== "unavailable" || this.#hasStarted) {
            return acceptance;
        }
        await Promise.race([this.#started, pause(ACCEPT_TIMEOUT_MS)]);
        return this.#gateway.accept(caller);
    }

    /** Replaces the seed hosts after a change of settings. */
    setSeeds(seeds: readonly string[]): void {
        this.#seeds = seeds;
        this.#updateLinks();
    }

    /**
     * Stops the host gracefully. First the platform gets time to redirect new callers. Then idle sessions are closed,
     * and open transactions may continue until half of the grace time has passed. Requests that still run then may take
     * up to another third of it.
     */
    async stop(): Promise<void> {
        const { graceMs } = this.#options;
        this.#isStopping = true;
        const closeAt = Math.min(LEAVE_ROTATION_MS, graceMs / 2);
        await pause(closeAt);
        this.#isClosingIdleSessions = true;
        this.#gateway.closeIdleSessions(STOPPING);
        await pause(graceMs / 2 - closeAt);
        this.#gateway.abortTransactions(STOPPING);
        await this.#waitForCallers(graceMs / 3);
        clearInterval(this.#timer);
        this.#limits?.stop();
        this.#gateway.close(STOPPING);
        await this.#mesh.close();
    }

    async #waitForCallers(limitMs: number): Promise<void> {
        const endAt = this.#options.clock.now() + limitMs;
        while (this.#gateway.callers > 0 && this.#options.clock.now() < endAt) {
            await pause(TICK_MS);
        }
    }

    /** Sets the gauges to their current values, before a collector reads them. */
    measure(): void {
        const { meter } = this.#options;
        meter.gauge("callers.open", this.callers);
        meter.gauge("configuration.number", this.#gateway.routing.number);
        meter.gauge("key.accepted", this.#acceptsKeys ? 1 : 0);
        const groups = [...this.#gateway.groups];
        setGroupGauges(meter, new Map(groups.map(([name, group]) => [name, group.condition()])));
    }

    #tick(): void {
        const now = this.#options.clock.now();
        this.#loopDelay.tick(now);
        this.#lease.tick();
        this.#keyLease?.tick();
        this.#limits?.tick();
        this.#logLease();
        this.#keyLeaseChecked();
        this.#gateway.check();
        this.#links.closeIdle(id => this.#gateway.isRelayingWith(id), now);
        for (const [name, group] of this.#gateway.groups) {
            const state = group.primaryState();
            const report = state === undefined ? undefined : this.#reporter.report(name, state, now);
            if (report !== undefined) {
                this.#links.sendAll(this.#connectedControl(), report);
            }
        }
        this.#closeSessionsWhenNotReady(now);
        this.#requestConfiguration();
        this.#checkControlContact();
    }

    #closeSessionsWhenNotReady(now: number): void {
        this.#contacts.update(now);
        // Until the platform has noticed that this host is not ready, reconnecting callers would return to it.
        const isIsolated = this.#contacts.isolatedMs(now) >= LEAVE_ROTATION_MS;
        const isLapsed = this.#isLapsed && this.#lease.lapsedMs >= LEAVE_ROTATION_MS;
        this.#gateway.closeIdleSessions(
            this.#isClosingIdleSessions ? STOPPING : isIsolated ? ISOLATED : isLapsed ? LAPSED : undefined,
        );
    }

    #meshEvent(event: MeshEvent): void {
        if (event.kind === "message") {
            const handler = this.#handlers[event.message.kind] as
                | ((message: Message, from: Host) => void)
                | undefined;
            handler?.(event.message, event.from);
        }
        else if (event.kind === "connected") {
            this.#links.opened(event.host.id);
            if (event.host.id === this.#control.leader) {
                this.#leaderChanged();
            }
            if (event.host.control) {
                this.#contacts.controlHostLinked(event.host);
                this.#reporter.clear();
            }
        }
        else {
            this.#gateway.disconnected(event.host.id);
            this.#configurationRequests.disconnected(event.host.id);
        }
    }

    #recordsReceived(records: readonly EndpointRecord[], from: Host): void {
        const { clock, log } = this.#options;
        const now = clock.now();
        const groups = new Set<string>();
        for (const record of usableRecords(records, from.id, clock.wallClock(), log)) {
            const former = this.#directory.record(record.id)?.group;
            const merged = this.#directory.merge(record, now);
            if (merged === "changed") {
                groups.add(former ?? record.group);
                this.#options.log.event("endpointAnnounced", announcedFields(record));
            }
            // The time for which a leaving endpoint has been leaving may be news too.
            if (merged !== "ignored") {
                groups.add(record.group);
            }
        }
        for (const group of groups) {
            this.#gateway.updateGroup(group, this.#directory.currentEndpoints(group, now));
        }
    }

    #ordersReceived(orders: readonly PromotionOrder[]): void {
        this.#lease.ordered(orders);
        for (const order of orders) {
            if (this.#directory.order(order)) {
                this.#options.log.event("primaryOrdered", { ...order });
                this.#gateway.ordered(order);
            }
        }
    }

    #hostsReceived(list: MessageOf<"hostList">, from: Host): void {
        const { leader: formerLeader, term: formerTerm } = this.#control;
        const formerEntries = this.#plans.entries;
        const hasNewControl = this.#control.listed(list, this.#elapsed.now());
        const { leader, term } = this.#control;
        if (list.entries !== undefined && list.control.length > 0 && list.term === term) {
            this.#plans.hostsChanged(list.entries);
        }
        if (!hasNewControl && this.#plans.entries === formerEntries) {
            return;
        }
        const { hosts: control } = this.#control;
        const entries = this.#plans.entries.length;
        this.#options.log.event("hostsChanged", { from: from.id, term, leader, control, entries });
        this.#limits?.hostsChanged();
        if (hasNewControl) {
            this.#contacts.retainControlHosts(control);
            this.#updateLinks();
        }
        if (leader !== formerLeader || term !== formerTerm) {
            this.#leaderChanged();
        }
    }

    #forwardHostList(to: Host): void {
        const list = this.#control.listToForward(this.#elapsed.now());
        if (list !== undefined) {
            this.#links.send(to.id, list);
        }
    }

    #leaderChanged(): void {
        this.#lease.leaderChanged();
        this.#keyLease?.requestNow();
        this.#limits?.leaderChanged();
        this.#reporter.clear();
    }

    #updateLinks(): void {
        this.#links.keep(this.#control.wanted(this.#linkedControl(), this.#seeds));
    }

    #linkedControl(): ReadonlySet<string> {
        return new Set(this.#connectedControl().map(host => host.id));
    }

    /** Looks for other control hosts while none confirms that the configuration in force is the newest. */
    #checkControlContact(): void {
        const now = this.#elapsed.now();
        this.#control.tick(now);
        this.#confirm();
        const linked = this.#linkedControl();
        const isSearching = this.#control.isSearching(now);
        if (isSearching !== this.#wasSearching) {
            this.#wasSearching = isSearching;
            this.#options.log.event(isSearching ? "controlContactLost" : "controlContactRegained", {
                configuration: this.#gateway.routing.number,
                newest: this.#configurationRequests.newest,
                leader: this.#control.leader,
                linked: [...linked],
            });
        }
        if (this.#control.mustSearch(now)) {
            this.#links.attempt(this.#control.searched(linked, this.#seeds));
            this.#requestHostList(linked.size > 0 ? 1 : FORWARDING_HOSTS);
        }
        this.#control.surplus(linked, now).forEach(id => this.#links.disconnect(id));
    }

    #confirm(): void {
        if (this.#gateway.routing.number >= this.#configurationRequests.newest) {
            this.#control.newestInForce();
        }
    }

    /** Asks `count` random entry hosts for their list of hosts. Opens links to them if there are too few. */
    #requestHostList(count: number): void {
        const linked = this.#links.connected().filter(host => !host.control).map(host => host.id);
        const others = this.#plans.entries.map(({ id }) => id).filter(id => id !== this.#options.self.id);
        const unlinked = others.filter(id => !linked.includes(id));
        const chosen = [...this.#shuffled(linked), ...this.#shuffled(unlinked)].slice(0, count);
        for (const id of chosen) {
            void this.#links.open(id, FORWARDING_LINK_TIMEOUT_MS).then(isOpen => {
                if (isOpen) {
                    this.#links.send(id, { kind: "hostListWanted" });
                }
            });
        }
    }

    #shuffled(ids: readonly string[]): readonly string[] {
        const keyed = ids.map(id => ({ id, key: this.#options.random() }));
        return keyed.sort((left, right) => left.key - right.key).map(({ id }) => id);
    }

    get #groupSettings(): readonly GroupSettings[] {
        return [...this.#gateway.routing.groups.values()];
    }

    #isLeased(group: GroupSettings | undefined): boolean {
        return isLeasedGroup(group, this.#options.primariesStepDown);
    }

    /** True when the lease has lapsed and no group can be served without one. */
    get #isLapsed(): boolean {
        return this.#lease.isLapsed && this.#groupSettings.every(group => this.#isLeased(group));
    }

    #logLease(): void {
        const { isLapsed } = this.#lease;
        if (isLapsed !== this.#wasLapsed) {
            this.#wasLapsed = isLapsed;
            this.#options.log.event("leaseChanged", { isLapsed, leader: this.#control.leader });
        }
    }

    get #acceptsKeys(): boolean {
        return this.#keyLease?.acceptsKeys() ?? true;
    }

    /** Records whether keys are accepted. While they are not, callers with keys are sent to other hosts. */
    #keyLeaseChecked(): void {
        const acceptsKeys = this.#acceptsKeys;
        if (acceptsKeys !== this.#acceptedKeys) {
            this.#acceptedKeys = acceptsKeys;
            const { number } = this.#gateway.routing;
            this.#options.log.event("keyLeaseChanged", {
                acceptsKeys,
                configuration: number,
                leader: this.#control.leader,
            });
        }
        if (!acceptsKeys) {
            this.#gateway.closeIdleKeyedSessions(KEYS_LAPSED);
        }
        else if (this.#gateway.routing.number > 0) {
            this.#hasStarted = true;
            this.#setStarted();
        }
    }

    #freshnessAnswered(answer: MessageOf<"freshnessAnswer">): void {
        if (this.#keyLease?.answered(answer) === true) {
            this.#configurationRequests.confirmed(answer.number);
            this.#requestConfiguration();
            this.#keyLeaseChecked();
        }
    }

    #sendToLeader(message: Message): boolean {
        const { leader } = this.#control;
        return leader !== undefined && this.#links.send(leader, message);
    }

    /** Sends a message to some random entry hosts; opens a link to one if there is none. */
    #sendToOthers(message: Message): void {
        const { random, self } = this.#options;
        const linked = this.#links.connected().filter(host => !host.control);
        const start = Math.floor(random() * linked.length);
        this.#links.sendAll([...linked.slice(start), ...linked.slice(0, start)].slice(0, FORWARDING_HOSTS), message);
        const others = this.#plans.entries.filter(({ id }) => id !== self.id);
        const other = others[Math.floor(random() * others.length)];
        if (linked.length < FORWARDING_HOSTS && other !== undefined) {
            void this.#links.open(other.id, FORWARDING_LINK_TIMEOUT_MS);
        }
    }

    #forwardedGrant(message: MessageOf<"forwardedGrant">): void {
        const { self } = this.#options;
        if (message.to !== self.id) {
            this.#links.send(message.to, message);
            return;
        }
        if (message.incarnation !== self.incarnation) {
            return;
        }
        this.#ordersReceived(message.orders);
        this.#lease.forwardedGrant(message);
    }

    #connectedControl(): readonly Host[] {
        return this.#links.connected().filter(host => host.control);
    }

    #offeredBy(host: Host, { number, isCurrent }: MessageOf<"configurationOffer">): void {
        if (number > this.#configurationRequests.newest) {
            const inForce = this.#gateway.routing.number;
            this.#options.log.event("configurationOffered", { peer: host.id, number, inForce });
        }
        this.#configurationRequests.offered(host.id, number);
        if (isCurrent && number >= this.#configurationRequests.newest) {
            this.#control.heard(this.#elapsed.now());
            this.#confirm();
        }
        this.#requestConfiguration();
    }

    /** Requests the configuration if this host has heard of a newer one than that in force. */
    #requestConfiguration(): void {
        const linked = this.#connectedControl().map(host => host.id);
        const host = this.#configurationRequests.next(
            this.#gateway.routing.number,
            linked,
            this.#options.clock.now(),
        );
        if (host !== undefined) {
            this.#links.send(host, { kind: "configurationWanted" });
        }
    }

    #configure({ change }: MessageOf<"configurationUpdate">, from: Host): void {
        if (!isConfigurationChange(change)) {
            this.#options.log.event("messageRejected", { peer: from.id, reason: "the configuration cannot be read" });
            return;
        }
        this.#configurationRequests.answered(from.id, change.number);
        if (this.#gateway.configure(this.#options.configurations.routing(change))) {
            this.#plans.configurationChanged();
            this.#keyLease?.configured(change.number, this.#gateway.routing.customers !== undefined);
            this.#keyLeaseChecked();
            this.#confirm();
            this.#options.log.event("configurationInForce", { number: change.number, from: from.id });
        }
        const { newest } = this.#configurationRequests;
        if (change.number < newest) {
            this.#options.log.event("configurationOutdated", { peer: from.id, number: change.number, newest });
        }
        this.#requestConfiguration();
    }

    async #reportPrimary({ group, endpoint }: MessageOf<"primaryCheck">): Promise<void> {
        const usedGroup = this.#gateway.groups.get(group);
        await usedGroup?.checkPrimary(endpoint);
        const own = usedGroup?.primaryState();
        const asked = own?.endpoint === endpoint ? undefined : usedGroup?.reachabilityOf(endpoint);
        for (const state of [own, asked]) {
            if (state !== undefined) {
                this.#links.sendAll(this.#connectedControl(), { kind: "primaryReport", group, ...state });
            }
        }
    }
}

function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, Math.max(0, delayMs)));
}
